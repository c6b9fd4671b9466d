package logging

// Dropped returns the number of lines that were dropped.
func (w *NonBlockingWriter) Dropped() uint64 { return w.dropped.Load() }
