// Package memberfake provides the membership of a process without a control
// group, for tests of the request path.
package memberfake

import (
	"sync"
	"time"

	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/member"
)

// Agent implements the memberships of gate and ingress. It holds the lease
// and is in contact until a test takes them away.
type Agent struct {
	self table.MemberID

	mu      sync.Mutex
	view    *member.View
	lease   time.Duration
	contact bool
	changed chan struct{}
	wakes   int
}

// New returns the membership of self with a view and a lease of an hour.
func New(self table.MemberID, v *member.View) *Agent {
	return &Agent{self: self, view: v, lease: time.Hour, contact: true, changed: make(chan struct{})}
}

// View returns the view that was set last.
func (m *Agent) View() *member.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// SetView replaces the view and wakes those who wait for a change.
func (m *Agent) SetView(v *member.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = v
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next SetView.
func (m *Agent) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// SetLease sets the remaining time of the lease; zero ends it.
func (m *Agent) SetLease(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = d
}

// LeaseRemaining returns the remaining time of the lease.
func (m *Agent) LeaseRemaining() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease
}

// SetContact sets whether control was heard from.
func (m *Agent) SetContact(contact bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact = contact
}

// InContact reports what SetContact set.
func (m *Agent) InContact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contact
}

// Owned looks the unit up in the view's table.
func (m *Agent) Owned(u shard.Unit) (*table.Entry, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.view.Table.Entry(u)
	return e, m.lease, e != nil && e.Owner == m.self && m.lease > 0
}

// RenewNow counts a request for an early renewal.
func (m *Agent) RenewNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakes++
}

// Wakes returns the number of calls of RenewNow.
func (m *Agent) Wakes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wakes
}
