package routes

// Account is a client account: the customer on whose behalf callers send requests.
type Account struct {
	// Name is what targets are told. It is unique.
	Name string `json:"name" cbor:"1,keyasint"`
	// KeyHashes are the hashes of the keys that identify the account's callers.
	KeyHashes []KeyHash `json:"keyHashes,omitempty" cbor:"2,keyasint,omitempty"`
	// Priority replaces the priority of the route, unless it is nil.
	Priority *int `json:"rank,omitempty" cbor:"3,keyasint,omitempty"`
	// Rate is the number of requests per second that all processes together accept.
	// Zero means no limit.
	Rate float64 `json:"rate,omitempty" cbor:"4,keyasint,omitempty"`
	// Burst is the number of requests that are accepted in addition to Rate. With a
	// rate, a burst below 1 counts as 1.
	Burst float64 `json:"burst,omitempty" cbor:"5,keyasint,omitempty"`
	// Weight is the account's share, relative to others of the same priority, of a
	// target without room for all. Zero means 1.
	Weight float64 `json:"weight,omitempty" cbor:"6,keyasint,omitempty"`
}

// KeyHash is the first 16 bytes of the SHA-256 hash of a key.
type KeyHash [16]byte
