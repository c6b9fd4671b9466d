// Package memory bounds the memory that the requests of a process, their bodies and
// their responses take together, by the decisions of package membudget.
package memory

import (
	"errors"
	"math"
	"sync"

	"bramleyquay.example/coord/membudget"
)

// ErrExhausted means that too little memory is free for the size that an account has
// reached. What the account was for can be tried again later.
var ErrExhausted = errors.New("not enough memory is free")

// Pool is the memory that accounts share. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	budget  *membudget.Budget
	refused uint64
}

// NewPool returns a pool of total bytes.
func NewPool(total int64) *Pool { return &Pool{budget: membudget.New(membudget.DefaultConfig(total))} }

// Open returns an account without memory. The caller must close it. The account of a nil
// pool grants everything.
func (p *Pool) Open() *Account {
	if p == nil {
		return nil
	}
	return &Account{pool: p}
}

// Used returns the bytes that all accounts have together.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Used()
}

// largest returns the most bytes that an account can have.
func (p *Pool) largest() int64 {
	if p == nil {
		return math.MaxInt64
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Largest()
}

// Refused returns the number of times that an account could not grow.
func (p *Pool) Refused() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Account is the memory of one request: its head, its body and the responses that are
// read for it. It is safe for concurrent use. A nil account grants everything.
type Account struct {
	pool   *Pool
	held   int64 // guarded by pool.mu
	closed bool
}

// Grow takes n bytes from the pool, or returns ErrExhausted and takes none.
func (a *Account) Grow(n int64) error {
	if a == nil {
		return nil
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.closed || !a.pool.budget.Grow(a.held, n) {
		a.pool.refused++
		return ErrExhausted
	}
	a.held += n
	return nil
}

// Shrink returns n bytes to the pool.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.closed {
		return
	}
	a.held -= n
	a.pool.budget.Shrink(n)
}

// Close returns all memory of the account. A second call does nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.pool.budget.Shrink(a.held)
	a.held = 0
}
