package relay

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyquay.example/coord/balancer"
	"bramleyquay.example/router/httpclient"
	"bramleyquay.example/router/httpserver"
)

// job is one request on its way to a target.
type job struct {
	request *httpserver.Request
	header  http.Header // forwarded
	id      string
	service string
	route   string
	rank    int
	// key is meaningful if sharded is set.
	sharded bool
	key     uint16
	// caller is the service beside which the request began.
	caller string
	// objective and deadline are the ends of full worth and of the wait.
	objective, deadline time.Time
	version             uint64
	// eager requests are refused if they cannot start at once.
	eager bool
}

// kind is what is known of a request's fate at a target.
type kind string

const (
	// done requests ran and the answer is whole.
	done kind = "done"
	// notRun requests did not run and will not.
	notRun kind = "not-run"
	// unknown requests may have run.
	unknown kind = "unknown"
)

// result is the outcome of one try.
type result struct {
	kind     kind
	response *httpclient.Response // set if done
	reason   string
	// retryAfter is the gate's advice with a refusal.
	retryAfter time.Duration
	// reached says that the target was handed the request.
	reached bool
	load    *balancer.GateLoad
	// waited and ran are the times in the gate's queue and at the target.
	waited, ran time.Duration
}

func refused(reason string, after time.Duration) result {
	return result{kind: notRun, reason: reason, retryAfter: after}
}

// encodeJob writes the routing decision for the gate.
func encodeJob(j *job, now time.Time) string {
	key := ""
	if j.sharded {
		key = strconv.Itoa(int(j.key))
	}
	return strings.Join([]string{
		j.service, j.route, strconv.Itoa(j.rank), key, j.caller,
		strconv.FormatInt(j.objective.Sub(now).Milliseconds(), 10),
		strconv.FormatInt(j.deadline.Sub(now).Milliseconds(), 10),
		strconv.FormatUint(j.version, 10),
		strconv.FormatBool(j.eager),
	}, ";")
}

const jobFields = 9

// decodeJob reads the routing decision of a peer.
func decodeJob(text string, r *httpserver.Request, id string) (*job, bool) {
	f := strings.Split(text, ";")
	if len(f) != jobFields {
		return nil, false
	}
	rank, err1 := strconv.Atoi(f[2])
	objective, err2 := strconv.ParseInt(f[5], 10, 64)
	deadline, err3 := strconv.ParseInt(f[6], 10, 64)
	version, err4 := strconv.ParseUint(f[7], 10, 64)
	eager, err5 := strconv.ParseBool(f[8])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return nil, false
	}
	j := &job{
		request: r, header: forwarded(r.Header), id: id, service: f[0], route: f[1], rank: rank, caller: f[4],
		objective: r.Received.Add(time.Duration(objective) * time.Millisecond),
		deadline:  r.Received.Add(time.Duration(deadline) * time.Millisecond), version: version, eager: eager,
	}
	delete(j.header, headerHop)
	if f[3] != "" {
		key, ok := parseKey(f[3])
		if !ok {
			return nil, false
		}
		j.sharded, j.key = true, key
	}
	return j, true
}

// encodeResult writes what the gate knows besides the answer.
func encodeResult(r result) string {
	load := balancer.GateLoad{}
	if r.load != nil {
		load = *r.load
	}
	reached := "0"
	if r.reached {
		reached = "1"
	}
	return strings.Join([]string{
		string(r.kind), plain.Replace(r.reason), strconv.FormatInt(r.retryAfter.Milliseconds(), 10), reached,
		strconv.Itoa(load.Running), strconv.Itoa(load.Limit), strconv.Itoa(load.Queued),
	}, ";")
}

// plain keeps what another side sent, as part of an error's text, from ending a
// field or a header.
var plain = strings.NewReplacer(";", ",", "\r", " ", "\n", " ")

const resultFields = 7

func decodeResult(text string) (result, bool) {
	f := strings.Split(text, ";")
	if len(f) != resultFields {
		return result{}, false
	}
	after, err1 := strconv.ParseInt(f[2], 10, 64)
	running, err2 := strconv.Atoi(f[4])
	limit, err3 := strconv.Atoi(f[5])
	queued, err4 := strconv.Atoi(f[6])
	k := kind(f[0])
	if err1 != nil || err2 != nil || err3 != nil || err4 != nil || (k != done && k != notRun && k != unknown) {
		return result{}, false
	}
	return result{
		kind: k, reason: f[1], retryAfter: time.Duration(after) * time.Millisecond, reached: f[3] == "1",
		load: &balancer.GateLoad{Running: running, Limit: limit, Queued: queued},
	}, true
}
