package relay

import (
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/httpserver"
)

const (
	// maxEscapedBytes is the length of one byte in percent-encoding.
	maxEscapedBytes = 3
	// MaxHopHeaderBytes bounds the headers that an ingress adds to a request for the gate of
	// another process, if the names are valid. Beside the names there are the account, which
	// is sent twice, and numbers.
	MaxHopHeaderBytes = len(hopNames)*maxEscapedBytes*routes.MaxNameBytes + 4<<10
)

// encodedPrefix starts the second value of headerHop in a request. It lists the names that
// are percent-encoded in the first value, separated by commas. Names that an earlier version
// can read as they are, are sent as they are, without a second value.
const encodedPrefix = "percent-encoded="

// hopName is a name in a routing decision: how encodedPrefix lists it, and its field.
type hopName struct {
	name  string
	field int
}

var hopNames = [...]hopName{{"service", 0}, {"route", 1}, {"caller", 4}}

const routingFields = 9

// encodeRouting encodes the routing decision as the values of headerHop for the gate of
// another process: fields separated by semicolons, and which of them are percent-encoded.
// Times are in milliseconds from now.
func encodeRouting(req *routedRequest, now time.Time) []string {
	key := ""
	if req.sharded {
		key = strconv.Itoa(int(req.key))
	}
	fields := [routingFields]string{
		req.service, req.route, strconv.Itoa(req.priority), key, req.caller,
		strconv.FormatInt(req.objective.Sub(now).Milliseconds(), 10),
		strconv.FormatInt(req.deadline.Sub(now).Milliseconds(), 10),
		strconv.FormatUint(req.version, 10),
		strconv.FormatBool(req.noWait),
	}
	var encoded []string
	for _, n := range hopNames {
		if field := &fields[n.field]; !isPlainField(*field) {
			*field = url.PathEscape(*field)
			encoded = append(encoded, n.name)
		}
	}
	values := []string{strings.Join(fields[:], ";")}
	if len(encoded) > 0 {
		values = append(values, encodedPrefix+strings.Join(encoded, ","))
	}
	return values
}

// isPlainField reports whether a text can be a field of headerHop without being encoded.
func isPlainField(text string) bool {
	return strings.IndexByte(text, ';') < 0 && httpguts.ValidHeaderFieldValue(text) && strings.Trim(text, " \t") == text
}

// errRouting is the cause if a request has no routing decision that this version can read.
var errRouting = errors.New("the request comes from no peer, or from one of another version")

// decodeRouting decodes the routing decision of another process's ingress.
func decodeRouting(values []string, r *httpserver.Request, id string) (*routedRequest, error) {
	if len(values) == 0 {
		return nil, errRouting
	}
	f := strings.Split(values[0], ";")
	if len(f) != routingFields {
		return nil, errRouting
	}
	if err := decodeNames(f, values[1:]); err != nil {
		return nil, err
	}
	priority, err1 := strconv.Atoi(f[2])
	objective, err2 := strconv.ParseInt(f[5], 10, 64)
	deadline, err3 := strconv.ParseInt(f[6], 10, 64)
	version, err4 := strconv.ParseUint(f[7], 10, 64)
	noWait, err5 := strconv.ParseBool(f[8])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return nil, err
	}
	req := &routedRequest{
		request: r, header: forwarded(r.Header), id: id, service: f[0], route: f[1], priority: priority, caller: f[4], account: r.Header.Get(headerAccount),
		objective: r.Received.Add(time.Duration(objective) * time.Millisecond),
		deadline:  r.Received.Add(time.Duration(deadline) * time.Millisecond), version: version, noWait: noWait,
	}
	if f, err := quarantine.ParseFingerprint(r.Header.Get(headerFingerprint)); err == nil {
		req.fingerprint = f
	}
	req.removeInternalHeaders()
	if f[3] != "" {
		key, ok := parseKey(f[3])
		if !ok {
			return nil, errRouting
		}
		req.sharded, req.key = true, key
	}
	return req, nil
}

// decodeNames decodes the names in fields that the further values of headerHop list. Values
// that it does not know are ignored; a name that it does not know is an error.
func decodeNames(fields, further []string) error {
	for _, v := range further {
		list, ok := strings.CutPrefix(v, encodedPrefix)
		if !ok {
			continue
		}
		for name := range strings.SplitSeq(list, ",") {
			i := slices.IndexFunc(hopNames[:], func(n hopName) bool { return n.name == name })
			if i < 0 {
				return errRouting
			}
			field := &fields[hopNames[i].field]
			decoded, err := url.PathUnescape(*field)
			if err != nil {
				return err
			}
			*field = decoded
		}
	}
	return nil
}
