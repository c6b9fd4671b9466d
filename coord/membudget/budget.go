// Package membudget divides a fixed amount of memory among holders whose need is not
// known in advance, such as the bodies of requests and responses.
package membudget

// Config configures a Budget. All sizes are in bytes.
type Config struct {
	// Total bounds the memory of all holders together.
	Total int64
	// Small is the size up to which a holder may use all memory. A higher value admits
	// more sizes to the reserve and fewer holders.
	Small int64
	// Reserve is the part of Total that larger holders leave free. A larger one keeps
	// room for more small holders and admits shorter bodies.
	Reserve int64
}

// DefaultConfig returns a configuration with a quarter of total as the reserve.
func DefaultConfig(total int64) Config {
	return Config{Total: total, Small: 64 << 10, Reserve: total / 4}
}

// Budget decides which holder may take more memory. A holder of more than Small bytes may
// grow up to the memory beside the reserve that then remains free, so one holder gets at
// most half of it. A decision takes constant time. Budget is not safe for concurrent use.
type Budget struct {
	cfg  Config
	used int64
}

// New returns a budget with all memory free.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Grow reports whether a holder that has held bytes may take n more, and counts them as
// used if so. It returns false if n or held is negative.
func (b *Budget) Grow(held, n int64) bool {
	if n < 0 || held < 0 || n > b.cfg.Total || held > b.cfg.Total {
		return false
	}
	free := b.cfg.Total - b.used - n
	if held+n > b.cfg.Small {
		free -= b.cfg.Reserve + held + n
	}
	if free < 0 {
		return false
	}
	b.used += n
	return true
}

// Largest returns the most bytes that a holder of more than Small can have, which it gets
// while nothing else is used.
func (b *Budget) Largest() int64 { return (b.cfg.Total - b.cfg.Reserve) / 2 }

// Shrink returns n bytes that Grow has granted.
func (b *Budget) Shrink(n int64) { b.used -= n }

// Used returns the bytes that all holders have together.
func (b *Budget) Used() int64 { return b.used }
