package peer

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"testing"
)

// FuzzFrame guards against frames that crash ReadObject, and against messages that
// were read but cannot be written and read again.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":[1]}`))
	f.Add(frame(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v json.RawMessage
		if (frameCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &v) != nil {
			return
		}
		var out bytes.Buffer
		if err := (frameCodec{}).WriteObject(&out, v); err != nil {
			t.Fatal(err)
		}
		var decoded json.RawMessage
		if err := (frameCodec{}).ReadObject(bufio.NewReader(&out), &decoded); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzHandshake guards against a client that passes the server's handshake without
// the secret, and against a handshake that hangs after the connection is closed.
func FuzzHandshake(f *testing.F) {
	nonce := make([]byte, nonceBytes)
	f.Add(append(helloBytes(protocolVersion, ChannelHTTP, nonce), make([]byte, sha256.Size)...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		go func() {
			_, _ = client.Write(data) // the server may stop reading
			_ = client.Close()
		}()
		if _, err := serverHandshake(server, []byte(testSecret)); err == nil {
			t.Fatalf("%x passed the handshake", data)
		}
		_ = server.Close()
	})
}
