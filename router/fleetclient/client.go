// Package fleetclient is the client of operators for the control group in fleet
// mode (with a routing document and key ranges).
package fleetclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quarantine"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("control group")

// Client calls the replicas of the control group. Document, Apply and Drain
// retry until the leader answers or ctx ends. It is safe for concurrent use.
type Client struct {
	peers   *peer.Client
	leaders *leaderclient.Client
	seeds   []string
}

// New returns a client for the replicas at the peer addresses in seeds, without
// which every call fails. It opens no connection. The secret is empty for
// clusters that trust their network.
func New(seeds []string, secret []byte) *Client {
	peers := peer.NewClient(&peer.Dialer{Secret: secret}, nil)
	return &Client{peers: peers, leaders: leaderclient.New(peers, seeds), seeds: seeds}
}

// Close closes the connections.
func (c *Client) Close() { c.peers.Close() }

// Document returns the text of the newest routing document and its version. The
// version is 0 before the first document.
func (c *Client) Document(ctx context.Context) (text []byte, version uint64, err error) {
	var reply fleetnode.ReadDocumentReply
	err = c.leaders.CallLeader(ctx, fleetnode.MethodRead, fleetnode.ReadDocumentRequest{}, &reply)
	return reply.Text, reply.Version, err
}

// Apply proposes a document to the control group. The caller has validated d,
// which is the parsed text; base is the version that it was made from. The
// status of the result says whether the document was accepted: a conflict or a
// refusal is not an error. After an error the document may be in force. Apply
// may then be called again with the same text and base, because a change that
// was accepted gets the same answer.
func (c *Client) Apply(ctx context.Context, d *routes.Document, text []byte, base uint64) (fleet.Result, error) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, text))
	var result fleet.Result
	err := c.leaders.CallLeader(ctx, fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: &fleet.ApplyDocument{
		ChangeID: hex.EncodeToString(sum[:16]), BaseVersion: base, Document: d, Text: text,
	}}, &result)
	return result, err
}

// Drain starts (on) or ends the drain of a data centre. It is idempotent.
func (c *Client) Drain(ctx context.Context, dataCentre string, on bool) error {
	return SetDrain(ctx, c.leaders, dataCentre, on, func() bool { return ctx.Err() == nil })
}

// Allow ends the refusal of a request that has ended targets. It reports whether the
// request was watched or refused. After an error Allow may be called again.
func (c *Client) Allow(ctx context.Context, f quarantine.Fingerprint) (suspected bool, err error) {
	return Allow(ctx, c.leaders, f)
}

// Status returns the status that the leader reports or, if no leader can be
// reached, that of the last replica that answered. In the leader's status
// Leader equals ID. Each replica is called once; one that does not answer
// delays Status by up to 0.8 s.
func (c *Client) Status(ctx context.Context) (fleetnode.Status, error) {
	var other *fleetnode.Status
	var lastErr error
	tried, queue := map[string]bool{}, append([]string(nil), c.seeds...)
	for len(queue) > 0 {
		addr := queue[0]
		queue = queue[1:]
		if tried[addr] {
			continue
		}
		tried[addr] = true
		var st fleetnode.Status
		if err := c.leaders.CallReplica(ctx, addr, fleetnode.MethodStatus, struct{}{}, &st); err != nil {
			lastErr = err
			continue
		}
		if st.Leader == st.ID {
			return st, nil
		}
		other = &st
		for _, id := range st.Voters {
			queue = append(queue, fleet.ReplicaAddress(id))
		}
	}
	if other == nil {
		return fleetnode.Status{}, Error.New("no replica answered: %v", lastErr)
	}
	return *other, nil
}
