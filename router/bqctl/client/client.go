// Package client calls the operator API of a cluster with hashed shards
// (coord/control) over HTTP.
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
	"bramleyquay.example/router/strictresponse"
)

// Error is the class of this package's errors.
var Error = errs.Class("client")

const (
	dialTimeout = 2 * time.Second
	// attemptTimeout bounds the wait for one server, so that the next one is
	// tried if a process is frozen. A commit takes well below 1 s.
	attemptTimeout = 5 * time.Second
	// maxReplyBytes bounds an answer, in bytes; a larger one is an error
	// with CodeUnknown. The largest is the dump of a member with the whole
	// ownership table.
	maxReplyBytes = 256 << 20
	// rounds is how often a call tries all servers, and roundPause the time
	// between two rounds. They cover an election, whose timeout is 0.4 s at
	// most, before a call fails because there is no leader.
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
	// HTTP replaces the client that HTTPClient(nil) returns, if not nil. It
	// must come from HTTPClient, or itself follow no redirect, use no proxy
	// and bound the dial time.
	HTTP *http.Client
}

// Client calls the operator listeners in order until one gives a definite
// answer. All requests that change something carry a change id, so that a retry
// after a lost answer does not make a change twice. A Client is not safe for
// concurrent use.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	// attemptTimeout and roundPause have the values of the constants; tests set
	// shorter ones.
	attemptTimeout, roundPause time.Duration
}

// New returns a client, or an error if config is not valid. It opens no
// connection.
func New(config Config) (*Client, error) {
	c := &Client{token: operator.Token(config.Secret), http: config.HTTP, attemptTimeout: attemptTimeout, roundPause: roundPause}
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

// HTTPClient returns a client that uses transport, or a new one if it is nil.
// It sets the dial timeout of transport. The client follows no redirect and uses
// no proxy, because either could send the token to another host.
func HTTPClient(transport *http.Transport) *http.Client {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &http.Client{
		Transport:     strictresponse.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends a request to the servers in turn until one gives a definite
// answer, and tries all of them at most rounds times. It decodes the body of an
// answer with status 200 or one of accepted into reply; other statuses are
// errors. Without a definite answer it returns the last error. If an earlier
// attempt may have been accepted, it returns an error with CodeUnknown instead
// of a refusal. It blocks for up to attemptTimeout for each attempt, or until
// ctx ends.
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
		if round > 0 && !sleep(ctx, c.roundPause) {
			break
		}
		for i := range c.servers {
			err := c.followLeader(ctx, c.servers[i], method, path, body, reply, accepted)
			if err == nil {
				c.prefer(i)
				return nil
			}
			if !tryNext(err) {
				return withUncertainty(err, uncertain)
			}
			uncertain = uncertain || !retryIsSafe(err)
			last = err
			if ctx.Err() != nil {
				return withUncertainty(last, uncertain)
			}
		}
	}
	return withUncertainty(last, uncertain)
}

// withUncertainty returns the last error of a call. If uncertain says that an
// earlier attempt may have been accepted or may still arrive, a refusal is
// replaced by an error with CodeUnknown. Sending the same change again gets the
// definite answer.
func withUncertainty(last error, uncertain bool) error {
	if uncertain && retryIsSafe(last) {
		return &operator.Error{Code: operator.CodeUnknown, Text: "an earlier attempt may have been accepted; then: " + last.Error()}
	}
	return last
}

// followLeader sends a request to a server and, while the answer is notLeader,
// to the leader that it names. Only numeric addresses are accepted as leaders,
// so that an answer cannot direct the token to a host by its name.
func (c *Client) followLeader(ctx context.Context, server, method, path string, body []byte, reply any, accepted []int) error {
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
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, server+"/api/v1"+path, bytes.NewReader(body))
	if err != nil {
		return Error.New("cannot create the request: %w", err)
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

// decode decodes an answer into reply, or returns the error that it contains.
func decode(server string, status int, text []byte, reply any, accepted []int) error {
	for _, a := range append(accepted, http.StatusOK) {
		if status != a {
			continue
		}
		if err := json.Unmarshal(text, reply); err != nil {
			return &operator.Error{Code: operator.CodeUnknown, Text: fmt.Sprintf("cannot decode the answer of %s: %v", server, err)}
		}
		return nil
	}
	e := &operator.Error{}
	if json.Unmarshal(text, e) != nil || e.Code == "" {
		return &operator.Error{Code: operator.CodeUnknown, Text: fmt.Sprintf("%s answered with status %d, which is not an answer of the operator API", server, status)}
	}
	return e
}

// transportError returns an error with CodeUnavailable if no connection was
// opened, and with CodeUnknown if the request may have reached the server.
func transportError(server string, err error) error {
	code := operator.CodeUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		code = operator.CodeUnavailable
	}
	var inner *url.Error
	if errors.As(err, &inner) {
		err = inner.Err // without the method and the URL; the text has the server
	}
	return &operator.Error{Code: code, Text: fmt.Sprintf("no answer from %s: %v", server, err)}
}

// tryNext reports whether another server may give a definite answer.
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

// retryIsSafe reports whether err says for certain that nothing was changed.
func retryIsSafe(err error) bool {
	var e *operator.Error
	return errors.As(err, &e) && e.RetryIsSafe()
}

// prefer moves the server that answered to the front, so that the next call
// tries it first.
func (c *Client) prefer(i int) {
	server := c.servers[i]
	copy(c.servers[1:i+1], c.servers[:i])
	c.servers[0] = server
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
