package relay

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/coord/quality"
	"bramleyquay.example/router/httpclient"
)

// Prefixes of the values of headerHop in an answer that follow the first one. Earlier versions
// ignore those that they do not know.
const (
	// weightPrefix is followed by the target's weight in eighths. The value is left out at
	// full weight.
	weightPrefix = "weight="
	// reasonPrefix is followed by the percent-encoded reason, if the first value cannot have
	// it as it is.
	reasonPrefix = "reason="
)

// hopValues returns the values of headerHop for a result, without the response, waited and
// ran.
func hopValues(r result) []string {
	plain := plainReason(r.reason)
	values := []string{encodeResult(r, plain)}
	if plain != r.reason {
		values = append(values, reasonPrefix+url.PathEscape(r.reason))
	}
	if r.load != nil && quality.Normalize(r.load.Weight) != quality.Full {
		values = append(values, weightPrefix+strconv.Itoa(r.load.Weight))
	}
	return values
}

// decodeHop decodes the values of headerHop from another process's gate. It returns false if
// the first is malformed. Others that it does not know are ignored.
func decodeHop(values []string) (result, bool) {
	if len(values) == 0 {
		return result{}, false
	}
	r, ok := decodeResult(values[0])
	if !ok {
		return result{}, false
	}
	for _, v := range values[1:] {
		if text, found := strings.CutPrefix(v, weightPrefix); found {
			weight, err := strconv.Atoi(text)
			if err != nil {
				weight = quality.Full // as from an earlier version
			}
			r.load.Weight = weight
		}
		if text, found := strings.CutPrefix(v, reasonPrefix); found {
			if reason, err := url.PathUnescape(text); err == nil {
				r.reason = reason // otherwise the plain one stays
			}
		}
	}
	return r, true
}

// plainReason returns a reason without the characters that end a field or that no header can
// carry. A reason may contain bytes of a target, as part of an error text.
func plainReason(reason string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r == ';':
			return ','
		case unicode.IsControl(r):
			return ' '
		}
		return r
	}, reason)
}

// encodeResult encodes a result, with a plain reason in place of its own, as fields separated
// by semicolons; retryAfter is in milliseconds.
func encodeResult(r result, plain string) string {
	load := balancer.GateLoad{}
	if r.load != nil {
		load = *r.load
	}
	reached := "0"
	if r.reached {
		reached = "1"
	}
	return strings.Join([]string{
		string(r.outcome), plain, strconv.FormatInt(r.retryAfter.Milliseconds(), 10), reached,
		strconv.Itoa(load.Running), strconv.Itoa(load.Limit), strconv.Itoa(load.Queued),
	}, ";")
}

const resultFields = 7

// decodeResult decodes the first value of headerHop from another process's gate. It returns
// false if the text is malformed.
func decodeResult(text string) (result, bool) {
	f := strings.Split(text, ";")
	if len(f) != resultFields {
		return result{}, false
	}
	after, err1 := strconv.ParseInt(f[2], 10, 64)
	running, err2 := strconv.Atoi(f[4])
	limit, err3 := strconv.Atoi(f[5])
	queued, err4 := strconv.Atoi(f[6])
	o := outcome(f[0])
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || (o != done && o != notRun && o != unknown) {
		return result{}, false
	}
	return result{
		outcome: o, reason: f[1], retryAfter: time.Duration(after) * time.Millisecond, reached: f[3] == "1",
		load: &balancer.GateLoad{Running: running, Limit: limit, Queued: queued},
	}, true
}

// hopResult returns the result in an answer of another process's gate, and false if it has
// none.
func hopResult(resp *httpclient.Response) (result, bool) {
	if values := resp.Header.Values(headerHop); len(values) > 0 {
		return decodeHop(values)
	}
	// Gates of earlier versions answer a request that they cannot read with one of these
	// statuses alone. All their other answers have a result.
	if resp.Status == http.StatusBadRequest || resp.Status == http.StatusRequestHeaderFieldsTooLarge {
		return refused(reasonUnreadable, defaultRetryAfter), true
	}
	return result{}, false
}
