// Package memberfake provides a fake of member.Agent that needs no control
// group, for tests of the request path.
package memberfake

import (
	"sync"
	"time"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/member"
)

// Agent implements the membership interfaces of gate and ingress. It has a
// valid lease, whose remaining time does not decrease, and is in contact with
// control until a test changes that. It is safe for concurrent use.
type Agent struct {
	self table.MemberID

	mu            sync.Mutex
	view          *member.View
	lease         time.Duration
	contact       bool
	changed       chan struct{}
	renewNowCalls int
}

// New returns an agent for the member self with a view and a lease of one hour.
func New(self table.MemberID, v *member.View) *Agent {
	return &Agent{self: self, view: v, lease: time.Hour, contact: true, changed: make(chan struct{})}
}

// View returns the view that was set last.
func (a *Agent) View() *member.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

// SetView replaces the view and closes the channel of Changed.
func (a *Agent) SetView(v *member.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view = v
	close(a.changed)
	a.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next SetView.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// SetLease sets the remaining time of the lease; zero ends it.
func (a *Agent) SetLease(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease = d
}

// LeaseRemaining returns the remaining time of the lease.
func (a *Agent) LeaseRemaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease
}

// SetContact sets the result of InContact.
func (a *Agent) SetContact(contact bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contact = contact
}

// InContact returns the value of the last SetContact, and true before.
func (a *Agent) InContact() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contact
}

// Owned returns the unit's entry in the view's table, the remaining lease, and
// whether the member owns the unit.
func (a *Agent) Owned(u shard.Unit) (*table.Entry, time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.view.Table.Entry(u)
	return e, a.lease, e != nil && e.Owner == a.self && a.lease > 0
}

// RenewNow counts a request for an early renewal.
func (a *Agent) RenewNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewNowCalls++
}

// RenewNowCalls returns the number of calls of RenewNow.
func (a *Agent) RenewNowCalls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.renewNowCalls
}
