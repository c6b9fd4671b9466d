package bqctl

import (
	"fmt"
	"time"

	"bramleyquay.example/coord/quarantine"
)

type fleetAllowCommand struct {
	Fingerprint string `arg:"" help:"Fingerprint of the request, as 'status' and the logs show it."`
}

// Run ends the refusal of a request.
func (a *fleetAllowCommand) Run(s *session, c *fleetCommand) error {
	f, err := quarantine.ParseFingerprint(a.Fingerprint)
	if err != nil {
		return invalid(fmt.Sprintf("%q is not a fingerprint: up to 16 hexadecimal digits", a.Fingerprint))
	}
	client, ctx, end, err := c.newClient(s)
	if err != nil {
		return err
	}
	defer end()
	suspected, err := client.Allow(ctx, f)
	if err != nil {
		return Error.New("%w; give the command again", err)
	}
	if !suspected {
		return invalid(fmt.Sprintf("request %s is not refused; nothing was changed", f))
	}
	s.print("request %s is allowed", f)
	return s.printJSON(map[string]any{"request": f.String(), "allowed": true})
}

// quarantineText lists the requests that have ended targets, nothing without any.
func quarantineText(entries []quarantine.Entry) string {
	if len(entries) == 0 {
		return ""
	}
	rows := [][]string{{"REQUEST", "TARGETS ENDED", "REFUSED FOR"}}
	for _, e := range entries {
		refused := "no"
		if e.Refused > 0 {
			refused = e.Refused.Round(time.Second).String()
		}
		rows = append(rows, []string{e.Fingerprint.String(), fmt.Sprint(e.Crashes), refused})
	}
	return "\n\n" + table(rows)
}
