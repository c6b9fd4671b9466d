package httpclient

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleyquay.example/coord/correlation"
	"bramleyquay.example/router/memory"
)

// exchange is one request and its response on a connection.
type exchange struct {
	pc      *persistConn
	request *Request
	// proceed is closed when the body may be sent, and answered when the final
	// response has arrived.
	proceed, answered chan struct{}
	proceedOnce       sync.Once
	// sent delivers the result of sending the request.
	sent chan error
}

func newExchange(pc *persistConn, r *Request) *exchange {
	x := &exchange{pc: pc, request: r, proceed: make(chan struct{}), answered: make(chan struct{}), sent: make(chan error, 1)}
	if !r.AwaitContinue {
		x.allowBody()
	}
	return x
}

func (x *exchange) allowBody() { x.proceedOnce.Do(func() { close(x.proceed) }) }

// continued reports whether the body may have been sent.
func (x *exchange) continued() bool {
	select {
	case <-x.proceed:
		return true
	default:
		return false
	}
}

// run sends the request and reads its response. The boolean says whether the
// connection can be reused.
func (x *exchange) run(cfg Config) (*Response, bool, error) {
	x.pc.checked.Begin(x.request.Method)
	go func() {
		err := x.send()
		x.sent <- err
		var source *SourceError
		if errors.As(err, &source) {
			// The server must not wait for the rest, nor take the part for the whole.
			x.pc.abort(true)
		}
	}()
	resp, reuse, err := x.receive(cfg)
	close(x.answered)
	if err == nil {
		return resp, reuse, nil
	}
	if malformed := x.pc.checked.Err(); malformed != nil {
		err = malformed
	}
	select {
	case sendErr := <-x.sent:
		var source *SourceError
		if errors.As(sendErr, &source) {
			err = sendErr
		}
	default:
	}
	return nil, false, err
}

// receive reads responses until the final one to this request.
func (x *exchange) receive(cfg Config) (*Response, bool, error) {
	pc := x.pc
	pc.requests.Start(x.request.ID)
	pc.limited.limit(maxHeadBytes, errHeadTooLong)
	defer pc.limited.head.End()
	for skipped := 0; ; skipped++ {
		if skipped > maxSkipped {
			return nil, false, errTooManySkipped
		}
		if err := pc.limited.head.Start(x.request.Memory, pc.br.Buffered()); err != nil {
			return nil, false, err
		}
		hr, err := http.ReadResponse(pc.br, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, false, err
		}
		if hr.StatusCode < http.StatusOK {
			if hr.StatusCode == http.StatusContinue {
				x.allowBody()
			}
			continue
		}
		pc.limited.head.End()
		if cfg.UnreadHeader != "" && hr.Header.Get(cfg.UnreadHeader) != "" {
			return nil, false, &UnreadError{Header: hr.Header}
		}
		if err := x.request.Memory.Grow(memory.HeaderBytes(hr.Header)); err != nil {
			return nil, false, err
		}
		// A chunked body is longer on the wire by the sizes of its chunks.
		pc.limited.limit(2*cfg.MaxBody+maxHeadBytes, errEncodingTooLong)
		body, err := readBody(hr, x.request.Memory, cfg.MaxBody)
		if err != nil {
			return nil, false, err
		}
		switch pc.requests.Judge(x.request.ID, hr.Header.Get(cfg.RequestIDHeader)) {
		case correlation.Unattributed:
			return nil, false, errUnattributed
		case correlation.Foreign:
			x.request.Memory.Shrink(memory.HeaderBytes(hr.Header) + int64(cap(body)))
			pc.limited.limit(maxHeadBytes, errHeadTooLong)
			continue
		case correlation.Accepted:
		}
		return &Response{Status: hr.StatusCode, Header: hr.Header, Body: body}, x.reusable(cfg, hr), nil
	}
}

// errUnattributed is the cause if a response without an id arrives where a late copy of
// another one may arrive too.
var errUnattributed = errors.New("the answer has no id")

// errNotContinued is the result of sending a request whose body was not asked for.
var errNotContinued = errors.New("answered before the body")

// send writes the request. The server's answer may arrive before its end.
func (x *exchange) send() error {
	r := x.request
	if !r.AwaitContinue && !r.hasLongBody() {
		_, err := x.pc.checked.Write(append(encodeHead(r), r.Body...))
		return err
	}
	if _, err := x.pc.checked.Write(encodeHead(r)); err != nil {
		return err
	}
	select {
	case <-x.proceed:
	case <-x.answered:
		return errNotContinued
	}
	if r.Source == nil {
		_, err := x.pc.checked.Write(r.Body)
		return err
	}
	return x.sendSource(r.Source)
}

const (
	// maxJoinedBodyBytes is the longest body that is copied behind the head of its
	// request, to send both in one write.
	maxJoinedBodyBytes = 16 << 10
	// exchangeBytes is the memory of an exchange beside its bodies: the goroutine that
	// sends and the buffers of the connection.
	exchangeBytes = 8 << 10
)

// hasLongBody reports whether the body may take more than one write.
func (r *Request) hasLongBody() bool { return r.Source != nil || len(r.Body) > maxJoinedBodyBytes }

// exchangeBytes returns the memory that sending the request takes.
func (r *Request) exchangeBytes() int64 {
	n := int64(exchangeBytes) + memory.HeaderBytes(r.Header)
	if r.Source != nil {
		n += copyBufferBytes
	}
	return n
}

// copyBufferBytes is the size of the parts in which a body is passed on.
const copyBufferBytes = 32 << 10

// sendSource passes a body on as it is read. A body that ends early gives a
// *SourceError.
func (x *exchange) sendSource(s *Source) error {
	body, err := s.Open()
	if err != nil {
		return &SourceError{Cause: err}
	}
	buf := make([]byte, chunkHeadBytes+copyBufferBytes+len(crlf))
	total := int64(0)
	for {
		n, readErr := body.Read(buf[chunkHeadBytes : chunkHeadBytes+copyBufferBytes])
		total += int64(n)
		if n > 0 {
			if _, err := x.pc.checked.Write(framePart(buf, n, s.Length < 0)); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && s.Length >= 0 && total != s.Length:
			return &SourceError{Cause: io.ErrUnexpectedEOF}
		case errors.Is(readErr, io.EOF) && s.Length < 0:
			_, err := x.pc.checked.Write([]byte("0" + crlf + crlf))
			return err
		case errors.Is(readErr, io.EOF):
			return nil
		case readErr != nil:
			return &SourceError{Cause: readErr}
		}
	}
}

const (
	crlf = "\r\n"
	// chunkHeadBytes is the room for the size of a chunk and a line end.
	chunkHeadBytes = 16
)

// framePart returns the bytes to send for the n bytes of a body that follow
// chunkHeadBytes in buf: a chunk if the length of the body is not known before.
func framePart(buf []byte, n int, chunked bool) []byte {
	from, to := chunkHeadBytes, chunkHeadBytes+n
	if !chunked {
		return buf[from:to]
	}
	head := strconv.FormatInt(int64(n), 16) + crlf
	from -= len(head)
	copy(buf[from:], head)
	return buf[from : to+copy(buf[to:], crlf)]
}

// writeWait bounds the wait for the end of sending a request whose response
// arrived first.
const writeWait = 50 * time.Millisecond

// reusable reports whether the connection can take another request after the
// response hr, and sets expires.
func (x *exchange) reusable(cfg Config, hr *http.Response) bool {
	pc := x.pc
	if hr.Close || hr.ContentLength < 0 && len(hr.TransferEncoding) == 0 || pc.hasExtraBytes() {
		return false
	}
	if x.continued() { // otherwise no byte of the body is sent
		select {
		case err := <-x.sent:
			if err != nil {
				return false
			}
		case <-time.After(writeWait):
			return false // the server would read the next request as the rest of this one
		}
	}
	idle := cfg.IdleTimeout
	if serverTimeout, ok := parseKeepAlive(hr.Header.Get("Keep-Alive")); ok {
		idle = min(idle, time.Duration(keepAliveFraction*float64(serverTimeout)))
	}
	pc.expires = time.Now().Add(idle)
	return idle > 0
}

// encodeHead encodes the request line and the headers.
func encodeHead(r *Request) []byte {
	buf := make([]byte, 0, min(len(r.Body), maxJoinedBodyBytes)+768)
	buf = append(append(append(append(buf, r.Method...), ' '), r.URI...), " HTTP/1.1\r\nHost: "...)
	buf = append(append(buf, r.Host...), "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			buf = append(append(append(append(buf, name...), ": "...), v...), "\r\n"...)
		}
	}
	length := int64(len(r.Body))
	if r.Source != nil {
		length = r.Source.Length
	}
	switch {
	case length < 0:
		buf = append(buf, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, length, 10)
		buf = append(buf, "\r\n"...)
	}
	if r.AwaitContinue {
		buf = append(buf, "Expect: 100-continue\r\n"...)
	}
	return append(buf, "\r\n"...)
}
