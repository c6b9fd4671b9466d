package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/gate"
	"bramleyquay.example/router/ingress"
	"bramleyquay.example/router/logging"
	"bramleyquay.example/router/member/memberfake"
)

// unreachableClient is a gate.PeerClient whose calls all fail.
type unreachableClient struct{}

// Call implements gate.PeerClient.
func (unreachableClient) Call(context.Context, string, string, any, any) error { return net.ErrClosed }

// TestInvalidAnnouncements guards against an invalid announcement that replaces the
// announced target: without a usable address, number of slots or incarnation, the
// target could not be reached or limited.
func TestInvalidAnnouncements(t *testing.T) {
	is := is.New(t)
	log := logging.ForComponent(logging.New(io.Discard, "error", false), "test")
	v, err := memberfake.View(1, &config.Document{}, nil)
	is.NoErr(err)
	members := memberfake.New("self", v)
	d := &Daemon{gate: gate.New(gate.Config{Self: "self"}, members, unreachableClient{}, log)}
	d.ingress = ingress.New(ingress.Config{Self: "self"}, members, d.gate, nil, log)
	h := d.platformHandler()
	announce := func(body string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	with := func(service, address string, slots, incarnation any) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"slots":%v,"incarnation":%v}`, service, address, slots, incarnation)
	}
	good := with("plain", "127.0.0.1:80", 3, 7)
	status, _ := announce(good)
	is.Equal(status, http.StatusNoContent)
	before := *d.gate.Status().Target
	for name, body := range map[string]string{
		"empty": "", "null": "null", "array": "[]", "broken": `{"service":`, "no fields": "{}",
		"unknown field": strings.Replace(good, "{", `{"more":1,`, 1), "trailing data": good + good, "trailing words": good + " x",
		"huge": strings.Replace(good, "plain", strings.Repeat("x", 1<<20), 1), "huge space": strings.Repeat(" ", 1<<20) + strings.Replace(good, "3", "4", 1), "huge trailer": good + strings.Repeat(" ", 1<<20) + "x",
		"no service": with("", "127.0.0.1:80", 3, 7), "odd service": with("a/b:c\n", "127.0.0.1:80", 3, 7), "long service": with(strings.Repeat("s", 64), "127.0.0.1:80", 3, 7),
		"no address": with("plain", "", 3, 7), "no port": with("plain", "127.0.0.1", 3, 7), "empty port": with("plain", "127.0.0.1:", 3, 7),
		"port zero": with("plain", "127.0.0.1:0", 3, 7), "large port": with("plain", "127.0.0.1:70000", 3, 7), "named port": with("plain", "127.0.0.1:http", 3, 7),
		"host name": with("plain", "localhost:80", 3, 7), "URL": with("plain", "http://127.0.0.1:80/", 3, 7), "path": with("plain", "127.0.0.1:80/x", 3, 7),
		"no slots": with("plain", "127.0.0.1:80", 0, 7), "negative slots": with("plain", "127.0.0.1:80", -1, 7), "many slots": with("plain", "127.0.0.1:80", 100_001, 7),
		"overflowing slots": with("plain", "127.0.0.1:80", "99999999999999999999", 7), "half a slot": with("plain", "127.0.0.1:80", 0.5, 7), "slots of words": with("plain", "127.0.0.1:80", `"3"`, 7),
		"no incarnation": with("plain", "127.0.0.1:80", 3, 0), "negative incarnation": with("plain", "127.0.0.1:80", 3, -1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, text := announce(body)
			is.True(status == http.StatusBadRequest || status == http.StatusUnprocessableEntity)
			is.True(text != "" && len(text) < 1_000) // says what is wrong
			is.Equal(*d.gate.Status().Target, before)
		})
	}
	for _, other := range []string{"GET /announce", "POST /announce/", "POST //announce", "POST /x/../announce", "PUT /announce"} {
		method, path, _ := strings.Cut(other, " ")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, "http://x"+path, strings.NewReader(with("other", "127.0.0.1:81", 3, 8))))
		is.Equal(w.Code, http.StatusNotFound) // a request to an unknown service
		is.Equal(*d.gate.Status().Target, before)
	}
}
