package ranges

// mergeUnassigned merges adjacent ranges without a holder. Handover tokens that
// differ are dropped, so that the next holder has to warm up.
func mergeUnassigned(ranges []Range) []Range {
	return merge(ranges, func(a, b Range) bool { return a.Holder.IsZero() && b.Holder.IsZero() })
}

// mergeSplit merges adjacent ranges with the same holder, fence and token: they
// were split, and all parts have stayed with one holder.
func mergeSplit(ranges []Range) []Range {
	return merge(ranges, func(a, b Range) bool {
		return a.Holder == b.Holder && a.Fence == b.Fence && a.HandoverToken == b.HandoverToken
	})
}

// merge merges adjacent ranges for which mergeable is true and no release is
// requested. The higher fence is kept, and the token only if both are equal.
func merge(ranges []Range, mergeable func(a, b Range) bool) []Range {
	out := make([]Range, 0, len(ranges))
	for _, r := range ranges {
		if n := len(out) - 1; n >= 0 && mergeable(out[n], r) && !out[n].Releasing && !r.Releasing {
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
