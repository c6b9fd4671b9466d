// Package peer provides authenticated connections between the processes of the
// system, in both modes (coord/control and coord/fleet). One port carries jsonrpc2
// and HTTP.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// Channel is the protocol of a connection after its handshake.
type Channel byte

const (
	// ChannelRPC carries jsonrpc2 in both directions.
	ChannelRPC Channel = 'r'
	// ChannelHTTP carries HTTP/1.1 requests from the dialer.
	ChannelHTTP Channel = 'h'
)

const (
	// protocolVersion is increased when the protocol changes incompatibly.
	protocolVersion byte = 1
	// handshakeTimeout bounds the whole handshake; for the dialer it includes
	// opening the connection.
	handshakeTimeout = 3 * time.Second
	nonceBytes       = 32
)

// magic starts each connection; the listener refuses other protocols by it.
var magic = [4]byte{'B', 'Q', 'P', 'R'}

// status is the server's reply to the hello and to the client's proof.
type status byte

const (
	statusOK             status = 0
	statusVersion        status = 1
	statusUnknownChannel status = 2
	// statusDenied means that the client's proof is wrong. The client treats
	// unknown statuses alike.
	statusDenied status = 3
)

// The handshake has four messages:
//
//	client: magic, version, channel, client nonce
//	server: status, version, server nonce, server proof
//	client: client proof
//	server: status
//
// With a status other than statusOK the server's message ends after the version, or
// in the fourth message after the status, and the server closes the connection. It
// closes a connection without the magic without an answer.
//
// Each proof is an HMAC-SHA256 of the side's name, the version, the channel and
// both nonces under the shared secret. Neither side learns the secret from it, and
// a proof cannot be replayed on another connection or sent back by the other side.

// hello is the client's first message, without the magic.
type hello struct {
	version byte
	channel Channel
	nonce   [nonceBytes]byte
}

func proof(secret []byte, side string, ch Channel, client, server []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(side))
	mac.Write([]byte{protocolVersion, byte(ch)})
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

// clientHandshake runs the dialer's side of the handshake. It sets no deadline.
func clientHandshake(conn net.Conn, secret []byte, ch Channel) error {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return Error.Wrap(err)
	}
	msg := append(magic[:], protocolVersion, byte(ch))
	if _, err := conn.Write(append(msg, nonce[:]...)); err != nil {
		return Error.Wrap(err)
	}
	var head [2]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return Error.New("no handshake answer from %s: %v", conn.RemoteAddr(), err)
	}
	if err := statusError(status(head[0]), head[1]); err != nil {
		return err
	}
	var answer [nonceBytes + sha256.Size]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return Error.Wrap(err)
	}
	server := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], proof(secret, "server", ch, nonce[:], server)) {
		return Error.New("%s does not know the shared secret", conn.RemoteAddr())
	}
	if _, err := conn.Write(proof(secret, "client", ch, nonce[:], server)); err != nil {
		return Error.Wrap(err)
	}
	var done [1]byte
	if _, err := io.ReadFull(conn, done[:]); err != nil {
		return Error.Wrap(err)
	}
	return statusError(status(done[0]), protocolVersion)
}

func statusError(s status, version byte) error {
	switch s {
	case statusOK:
		return nil
	case statusVersion:
		return Error.New("peer speaks protocol version %d, this process speaks %d", version, protocolVersion)
	case statusUnknownChannel:
		return Error.New("peer does not know the channel")
	default:
		return Error.New("peer refused the shared secret")
	}
}

// serverHandshake runs the listener's side of the handshake and returns the channel
// that the client asked for. It sets no deadline.
func serverHandshake(conn net.Conn, secret []byte) (Channel, error) {
	h, err := readHello(conn)
	if err != nil {
		return 0, err
	}
	if s := checkHello(h); s != statusOK {
		_, _ = conn.Write([]byte{byte(s), protocolVersion}) // the connection is refused in any case
		return 0, Error.New("%s: protocol version %d, channel %q refused", conn.RemoteAddr(), h.version, h.channel)
	}
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return 0, Error.Wrap(err)
	}
	msg := append([]byte{byte(statusOK), protocolVersion}, nonce[:]...)
	msg = append(msg, proof(secret, "server", h.channel, h.nonce[:], nonce[:])...)
	if _, err := conn.Write(msg); err != nil {
		return 0, Error.Wrap(err)
	}
	var answer [sha256.Size]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return 0, Error.Wrap(err)
	}
	if !hmac.Equal(answer[:], proof(secret, "client", h.channel, h.nonce[:], nonce[:])) {
		_, _ = conn.Write([]byte{byte(statusDenied)}) // the connection is refused in any case
		return 0, Error.New("%s does not know the shared secret", conn.RemoteAddr())
	}
	_, err = conn.Write([]byte{byte(statusOK)})
	return h.channel, Error.Wrap(err)
}

func readHello(conn net.Conn) (hello, error) {
	var raw [len(magic) + 2 + nonceBytes]byte
	if _, err := io.ReadFull(conn, raw[:]); err != nil {
		return hello{}, Error.Wrap(err)
	}
	if [4]byte(raw[:4]) != magic {
		return hello{}, Error.New("%s does not speak the peer protocol", conn.RemoteAddr())
	}
	return hello{version: raw[4], channel: Channel(raw[5]), nonce: [nonceBytes]byte(raw[6:])}, nil
}

func checkHello(h hello) status {
	switch {
	case h.version != protocolVersion:
		return statusVersion
	case h.channel != ChannelRPC && h.channel != ChannelHTTP:
		return statusUnknownChannel
	default:
		return statusOK
	}
}
