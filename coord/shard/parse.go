package shard

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("shard")

// Parse parses a unit in the form that Unit.String returns. It also accepts leading
// zeros, and a hash with fewer digits or with upper-case ones. It returns an error
// for any other text. It does not check that the key space and the shard exist.
func Parse(s string) (Unit, error) {
	parts := strings.Split(s, "/")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" {
		return Unit{}, Error.New("unit %q is not service/shard or service/shard/key", s)
	}
	index, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return Unit{}, Error.New("unit %q: shard is not a number", s)
	}
	u := Unit{Keyspace: parts[0], Shard: uint32(index)}
	if len(parts) == 3 {
		u.KeyHash, err = strconv.ParseUint(parts[2], 16, 64)
		if err != nil || u.KeyHash == 0 {
			return Unit{}, Error.New("unit %q: key is not a non-zero hexadecimal hash", s)
		}
	}
	return u, nil
}
