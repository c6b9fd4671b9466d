package fleetagent

// SetViewForTest replaces the view.
func (a *Agent) SetViewForTest(v *View) { a.view.Store(v) }
