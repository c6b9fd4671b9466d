package ranges

// joinFree merges neighbouring rows that nobody holds. Tokens that differ are
// dropped: the next holder has to warm up.
func joinFree(rows []Range) []Range {
	return join(rows, func(a, b Range) bool { return a.Holder.IsZero() && b.Holder.IsZero() })
}

// joinHeld undoes splits whose parts have stayed with one holder.
func joinHeld(rows []Range) []Range {
	return join(rows, func(a, b Range) bool {
		return a.Holder == b.Holder && a.Fence == b.Fence && a.HandoverToken == b.HandoverToken
	})
}

func join(rows []Range, same func(a, b Range) bool) []Range {
	out := make([]Range, 0, len(rows))
	for _, r := range rows {
		if n := len(out) - 1; n >= 0 && same(out[n], r) && !out[n].Releasing && !r.Releasing {
			out[n].To, out[n].Fence = r.To, max(out[n].Fence, r.Fence)
			if out[n].HandoverToken != r.HandoverToken {
				out[n].HandoverToken = ""
			}
			continue
		}
		out = append(out, r)
	}
	return out
}
