package relay

import (
	"context"
	"errors"
	"time"

	"bramleyquay.example/router/httpclient"
)

// probeTimeout bounds the probe of a target: it is on the same machine.
const probeTimeout = 500 * time.Millisecond

// probe opens a connection to the target after one broke, to find out whether the
// target has ended. It does nothing while another probe is in progress.
func (g *Gate) probe() {
	if !g.probing.CompareAndSwap(false, true) {
		return
	}
	defer g.probing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var unsent *httpclient.NotSentError
	if err := g.client.Connect(ctx); errors.As(err, &unsent) && unsent.Refused {
		g.log.Info().Err(err).Msg("target refuses connections after one broke")
		g.agent.RecordUnreachable(true)
	}
}
