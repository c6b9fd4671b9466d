package raft

import "slices"

// raftLog is the log in memory: the latest snapshot and the entries after
// (baseIndex, baseTerm). baseIndex is at most snapshot.Index, because some
// entries before the snapshot may be retained for replicas that are slightly
// behind.
type raftLog struct {
	snapshot  Snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	stable    uint64 // last index known to be synced to this replica's disk
	commit    uint64
	applied   uint64
}

func newLog(s PersistentState) raftLog {
	l := raftLog{entries: slices.Clone(s.Entries)}
	l.setBase(s.Snapshot)
	l.stable = l.last()
	l.commit = max(s.HardState.Commit, s.Snapshot.Index)
	return l
}

func (l *raftLog) setBase(s Snapshot) {
	l.snapshot, l.baseIndex, l.baseTerm = s, s.Index, s.Term
	l.applied = max(l.applied, s.Index)
}

func (l *raftLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. It returns false if the log does not
// contain the entry.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at (index, term) is at least as
// complete as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns the entries from index from to index to, both included. Later
// operations on the log do not change the result.
func (l *raftLog) slice(from, to uint64) []Entry {
	from = max(from, l.baseIndex+1)
	if from > to {
		return nil
	}
	return slices.Clip(l.entries[from-l.baseIndex-1 : to-l.baseIndex])
}

// bytesAfter returns the data of the entries after index in bytes.
func (l *raftLog) bytesAfter(index uint64) int { return dataBytes(l.slice(index+1, l.last())) }

// batch returns the entries from index from on with at most maxBytes of data, but
// at least one if there is any.
func (l *raftLog) batch(from uint64, maxBytes int) []Entry {
	all := l.slice(from, l.last())
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i > 0 && size > maxBytes {
			return slices.Clip(all[:i])
		}
	}
	return all
}

// append adds entries after the last one.
func (l *raftLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes all entries after index. The slice of the remaining ones is
// clipped, so that a later append does not overwrite slices returned before.
func (l *raftLog) truncate(index uint64) {
	if index >= l.last() {
		return // no entry is removed, so the next append need not copy the log
	}
	l.entries = slices.Clip(l.entries[:index-l.baseIndex])
	l.stable = min(l.stable, index)
}

// newEntries returns the part of entries that the log does not contain: those from
// the first missing or conflicting entry on.
func (l *raftLog) newEntries(entries []Entry) []Entry {
	for i := range entries {
		if entries[i].Index > l.baseIndex && !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i:]
		}
	}
	return nil
}

// lastWithTermUpTo returns the last index at or before index whose term is at
// most term. Probing uses it to skip whole terms.
func (l *raftLog) lastWithTermUpTo(index, term uint64) uint64 {
	for index = min(index, l.last()); index > l.baseIndex; index-- {
		if t, _ := l.term(index); t <= term {
			break
		}
	}
	return index
}

// restore replaces the whole log by a snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.entries = nil
	l.snapshot, l.baseIndex, l.baseTerm = s, s.Index, s.Term
	l.stable = min(l.stable, s.Index)
	l.commit = s.Index
}

// compact records a snapshot of this replica's own state and removes the entries
// up to its index, except the last keep ones with at most keepBytes of data.
func (l *raftLog) compact(s Snapshot, keep, keepBytes int) {
	l.snapshot = s
	base := s.Index
	for size := 0; base > l.baseIndex && s.Index-base < uint64(keep); base-- {
		if size += len(l.entries[base-l.baseIndex-1].Data); size > keepBytes {
			break
		}
	}
	if base == l.baseIndex {
		return
	}
	term, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, term
}
