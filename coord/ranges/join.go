package ranges

// joinFree merges neighbouring rows that nobody holds. Tokens that differ are
// dropped: the next holder has to warm up.
func joinFree(rows []Row) []Row {
	return join(rows, func(a, b Row) bool { return a.Holder.IsZero() && b.Holder.IsZero() })
}

// joinHeld undoes splits whose parts have stayed with one holder.
func joinHeld(rows []Row) []Row {
	return join(rows, func(a, b Row) bool { return a.Holder == b.Holder && a.Fence == b.Fence && a.Handover == b.Handover })
}

func join(rows []Row, same func(a, b Row) bool) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		if n := len(out) - 1; n >= 0 && same(out[n], r) && !out[n].Releasing && !r.Releasing {
			out[n].To, out[n].Fence = r.To, max(out[n].Fence, r.Fence)
			if out[n].Handover != r.Handover {
				out[n].Handover = ""
			}
			continue
		}
		out = append(out, r)
	}
	return out
}
