// Package client calls the operator API of a cluster.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("client")

const (
	dialTimeout = 2 * time.Second
	// attemptTimeout bounds one server's answer, so that a frozen process does
	// not keep the next one from being asked. A commit takes well below 1 s.
	attemptTimeout = 5 * time.Second
	// maxReplyBytes bounds an answer. The largest is the dump of a member with
	// the whole table.
	maxReplyBytes = 256 << 20
	// rounds and roundPause let an election pass, which takes 0.4 s at most, before
	// a call fails because there is no leader.
	rounds     = 4
	roundPause = 300 * time.Millisecond
	// maxHops bounds a chain of replicas that each name another one as leader.
	maxHops = 8
)

// Config says how to reach a cluster.
type Config struct {
	// Servers are operator listeners: host:port, or a URL with http or https.
	Servers []string
	Secret  settings.Secret
	// HTTP is used instead of a client with the package's limits if not nil.
	HTTP *http.Client
}

// Client calls one operator listener after the other until one answers. All
// requests that change something carry a change id, so that a resend after a
// lost answer changes nothing twice. A Client serves one call at a time.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	// attempt and pause are attemptTimeout and roundPause outside of tests.
	attempt, pause time.Duration
}

// New returns a client. It opens no connection.
func New(config Config) (*Client, error) {
	c := &Client{token: operator.Token(config.Secret), http: config.HTTP, attempt: attemptTimeout, pause: roundPause}
	if len(config.Secret.Bytes()) == 0 {
		return nil, Error.New("the secret is missing")
	}
	if len(config.Servers) == 0 {
		return nil, Error.New("no operator address is given")
	}
	for _, server := range config.Servers {
		base := strings.TrimSuffix(server, "/")
		if !strings.Contains(base, "://") {
			base = "http://" + base
		}
		host, valid := strings.CutPrefix(base, "http://")
		if !valid {
			host, valid = strings.CutPrefix(base, "https://")
		}
		if _, port, err := net.SplitHostPort(host); !valid || err != nil || port == "" {
			return nil, Error.New("%q is not an operator address, such as 127.0.0.1:7003", server)
		}
		c.servers = append(c.servers, base)
	}
	if c.http == nil {
		c.http = HTTPClient(nil)
	}
	return c, nil
}

// HTTPClient returns a client that follows no redirect and uses no proxy,
// because either could carry the token elsewhere.
func HTTPClient(transport *http.Transport) *http.Client {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends one request until a server gives a definite answer. The reply of
// one of the accepted statuses is decoded into reply.
func (c *Client) call(ctx context.Context, method, path string, request, reply any, accepted ...int) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return Error.New("cannot encode the request: %w", err)
		}
	}
	var last error
	uncertain := false
	for round := range rounds {
		if round > 0 && !sleep(ctx, c.pause) {
			break
		}
		for i := range c.servers {
			err := c.follow(ctx, c.servers[i], method, path, body, reply, accepted)
			if err == nil {
				c.prefer(i)
				return nil
			}
			if !tryNext(err) {
				return lost(err, uncertain)
			}
			uncertain = uncertain || !retryIsSafe(err)
			last = err
			if ctx.Err() != nil {
				return lost(last, uncertain)
			}
		}
	}
	return lost(last, uncertain)
}

// lost makes sure that a later refusal does not hide that an earlier attempt
// may have been accepted or is still on its way. The same change given again
// gets the definite answer.
func lost(last error, uncertain bool) error {
	if uncertain && retryIsSafe(last) {
		return &operator.Error{Code: operator.CodeUnknown, Text: "an earlier attempt may have been accepted; then: " + last.Error()}
	}
	return last
}

// follow asks a server and then the leaders that the answers name.
func (c *Client) follow(ctx context.Context, server, method, path string, body []byte, reply any, accepted []int) error {
	for hop := 0; ; hop++ {
		err := c.send(ctx, server, method, path, body, reply, accepted)
		var e *operator.Error
		if !errors.As(err, &e) || e.Code != operator.CodeNotLeader || e.Leader == "" || hop == maxHops {
			return err
		}
		leader, parseErr := netip.ParseAddrPort(e.Leader)
		if parseErr != nil {
			return err
		}
		scheme, _, _ := strings.Cut(server, "://")
		server = scheme + "://" + leader.String()
	}
}

func (c *Client) send(ctx context.Context, server, method, path string, body []byte, reply any, accepted []int) error {
	ctx, cancel := context.WithTimeout(ctx, c.attempt)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, server+"/api/v1"+path, bytes.NewReader(body))
	if err != nil {
		return Error.New("cannot make the request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return transportError(server, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return transportError(server, err)
	}
	return decode(server, response.StatusCode, text, reply, accepted)
}

func decode(server string, status int, text []byte, reply any, accepted []int) error {
	for _, a := range append(accepted, http.StatusOK) {
		if status != a {
			continue
		}
		if err := json.Unmarshal(text, reply); err != nil {
			return &operator.Error{Code: operator.CodeUnknown, Text: fmt.Sprintf("%s gave an answer that cannot be read: %v", server, err)}
		}
		return nil
	}
	e := &operator.Error{}
	if json.Unmarshal(text, e) != nil || e.Code == "" {
		return &operator.Error{Code: operator.CodeUnknown, Text: fmt.Sprintf("%s answered with status %d, which is not an answer of the operator API", server, status)}
	}
	return e
}

// transportError says whether the request can have reached the server.
func transportError(server string, err error) error {
	code := operator.CodeUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		code = operator.CodeUnavailable
	}
	var inner *url.Error
	if errors.As(err, &inner) {
		err = inner.Err // without the method and the address, which the text names
	}
	return &operator.Error{Code: code, Text: fmt.Sprintf("no answer from %s: %v", server, err)}
}

// tryNext reports whether another server may do better.
func tryNext(err error) bool {
	var e *operator.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case operator.CodeNotLeader, operator.CodeUnavailable, operator.CodeUnknown:
		return true
	default:
		return false
	}
}

func retryIsSafe(err error) bool {
	var e *operator.Error
	return errors.As(err, &e) && e.RetryIsSafe()
}

// prefer moves a server that answered to the front.
func (c *Client) prefer(i int) {
	server := c.servers[i]
	copy(c.servers[1:i+1], c.servers[:i])
	c.servers[0] = server
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
