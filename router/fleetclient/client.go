// Package fleetclient calls the control group of processes that route by
// document, for operators.
package fleetclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/errs"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/routes"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/leaderclient"
	"bramleyquay.example/router/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("control group")

// Client calls the leader. It is safe for concurrent use.
type Client struct {
	peers   *peer.Client
	leaders *leaderclient.Client
	seeds   []string
}

// New returns a client for the replicas at the peer addresses in seeds. An
// empty secret is for clusters that trust their network.
func New(seeds []string, secret []byte) *Client {
	peers := peer.NewClient(&peer.Dialer{Secret: secret}, nil)
	return &Client{peers: peers, leaders: leaderclient.New(peers, seeds), seeds: seeds}
}

// Close ends the connections.
func (c *Client) Close() { c.peers.Close() }

// Document returns the newest document and its version, 0 before the first.
func (c *Client) Document(ctx context.Context) (text []byte, version uint64, err error) {
	var reply fleetnode.ReadDocumentReply
	err = c.leaders.CallLeader(ctx, fleetnode.MethodRead, fleetnode.ReadDocumentRequest{}, &reply)
	return reply.Text, reply.Version, err
}

// Apply puts a valid document in force that was made from version base. After
// an error it may be called again with the same document and base: a change
// that was accepted has the same answer.
func (c *Client) Apply(ctx context.Context, d *routes.Document, text []byte, base uint64) (fleet.Result, error) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, text))
	var result fleet.Result
	err := c.leaders.CallLeader(ctx, fleetnode.MethodPropose, fleetnode.ProposeRequest{ApplyDocument: &fleet.ApplyDocument{
		ChangeID: hex.EncodeToString(sum[:16]), BaseVersion: base, Document: d, Text: text,
	}}, &result)
	return result, err
}

// Drain starts or ends the drain of a data centre. It may be repeated.
func (c *Client) Drain(ctx context.Context, dataCentre string, on bool) error {
	var result fleet.Result
	return c.leaders.CallLeader(ctx, fleetnode.MethodPropose, fleetnode.ProposeRequest{SetDrain: &fleet.SetDrain{DataCentre: dataCentre, On: on}}, &result)
}

// Status returns the view of the leader or, while there is none, of any
// replica that answers. Its role tells which.
func (c *Client) Status(ctx context.Context) (fleetnode.Status, error) {
	var other *fleetnode.Status
	var last error
	asked, queue := map[string]bool{}, append([]string(nil), c.seeds...)
	for len(queue) > 0 {
		addr := queue[0]
		queue = queue[1:]
		if asked[addr] {
			continue
		}
		asked[addr] = true
		var st fleetnode.Status
		if err := c.leaders.CallReplica(ctx, addr, fleetnode.MethodStatus, struct{}{}, &st); err != nil {
			last = err
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
		return fleetnode.Status{}, Error.New("no replica answered: %v", last)
	}
	return *other, nil
}
