package bqctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"bramleyquay.example/coord/fleet"
	"bramleyquay.example/coord/quality"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/router/fleetclient"
	"bramleyquay.example/router/fleetnode"
	"bramleyquay.example/router/routefile"
	"bramleyquay.example/router/settings"
)

// fleetCommand operates clusters in fleet mode, with a routing document and key
// ranges. It calls the peer listeners of the control replicas.
type fleetCommand struct {
	Replica      []string `help:"Peer address of a control replica; several are tried." env:"BQ_REPLICAS" placeholder:"ADDRESS" required:""`
	TrustNetwork bool     `help:"The cluster has no secret."`

	Status   fleetStatusCommand   `cmd:"" help:"Show the control group, the members and the drains."`
	Document fleetDocumentCommand `cmd:"" help:"Print the routing document in force."`
	Apply    fleetApplyCommand    `cmd:"" help:"Check a routing document and put it in force."`
	Drain    fleetDrainCommand    `cmd:"" help:"Take a data centre out of service."`
	Return   fleetReturnCommand   `cmd:"" help:"Return a data centre to service."`
	Allow    fleetAllowCommand    `cmd:"" help:"No longer refuse a request that has ended targets."`
	Accounts fleetAccountsCommand `cmd:"" help:"Show how the limits of accounts are divided."`
}

// newClient returns a client, a context with the command's timeout, and a
// function that releases both. It opens no connection. Its errors are invalid
// input.
func (c *fleetCommand) newClient(s *session) (*fleetclient.Client, context.Context, func(), error) {
	var secret []byte
	switch {
	case c.TrustNetwork && s.globals.SecretFile != "":
		return nil, nil, nil, invalid("--trust-network has no use with a secret")
	case !c.TrustNetwork && s.globals.SecretFile == "":
		return nil, nil, nil, invalid("the secret is missing: give --secret-file, set BQ_SECRET_FILE, or give --trust-network")
	case !c.TrustNetwork:
		read, err := settings.ReadSecretFile(s.globals.SecretFile)
		if err != nil {
			return nil, nil, nil, invalid(err.Error())
		}
		secret = read.Bytes()
	}
	client := fleetclient.New(c.Replica, secret)
	ctx, cancel := context.WithTimeout(s.ctx, s.globals.Timeout)
	return client, ctx, func() { cancel(); client.Close() }, nil
}

type fleetStatusCommand struct{}

// Run prints the state of the control group once.
func (*fleetStatusCommand) Run(s *session, c *fleetCommand) error {
	client, ctx, end, err := c.newClient(s)
	if err != nil {
		return err
	}
	defer end()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	s.print("%s", fleetStatusText(status))
	return s.printJSON(status)
}

func fleetStatusText(st fleetnode.Status) string {
	summary := fmt.Sprintf("leader %s, term %d, %d entries applied, document version %d", st.Leader, st.Term, st.Applied, st.Version)
	if st.Leader != st.ID {
		summary += fmt.Sprintf("\nas reported by %s (%s); only the leader knows the members and which replicas are active", st.ID, strings.ToLower(st.Role))
	}
	if len(st.Drained) > 0 {
		summary += "\ndrained: " + strings.Join(st.Drained, ", ")
	}
	replicas := [][]string{{"REPLICA", "ROLE", "ACTIVE"}}
	add := func(id raft.ID, role string) {
		active := "no"
		if slices.Contains(st.Active, id) {
			active = "yes"
		}
		replicas = append(replicas, []string{string(id), role, active})
	}
	for _, id := range st.Voters {
		add(id, "voter")
	}
	for _, id := range st.Learners {
		add(id, "learner")
	}
	members := [][]string{{"PROCESS", "DATA CENTRE", "SERVICE", "TARGET", "SLOTS", "WEIGHT", "CONDITION"}}
	for _, m := range st.Members {
		condition := string(m.Condition)
		if m.Leaving {
			condition += ", stopping"
		}
		members = append(members, []string{m.Process, m.DataCentre, m.Service, m.Target, fmt.Sprint(m.Slots), fmt.Sprintf("%d/%d", quality.Normalize(m.Weight), quality.Full), condition})
	}
	return summary + "\n\n" + table(replicas) + "\n\n" + table(members) + quarantineText(st.Quarantine)
}

type fleetDocumentCommand struct{}

// Run prints the text of the routing document, without line breaks at its end.
// With --json the text is unchanged.
func (*fleetDocumentCommand) Run(s *session, c *fleetCommand) error {
	client, ctx, end, err := c.newClient(s)
	if err != nil {
		return err
	}
	defer end()
	text, version, err := client.Document(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		return invalid("no document has been put in force yet")
	}
	s.print("%s", strings.TrimRight(string(text), "\n"))
	return s.printJSON(map[string]any{"version": version, "text": string(text)})
}

type fleetApplyCommand struct {
	File string  `arg:"" help:"Routing document, JSON with comments; - reads the standard input."`
	Base *uint64 `help:"Version that the file was made from; the newest if not given. The change is refused if the newest is another one."`
}

// Run applies the routing document in a file. The command may be given again
// after a lost answer.
func (f *fleetApplyCommand) Run(s *session, c *fleetCommand) error {
	text, err := s.readText(f.File)
	if err != nil {
		return err
	}
	document, findings := routefile.Parse(text)
	for _, finding := range findings {
		_, _ = fmt.Fprintf(s.env.Stderr, "%s:%s\n", f.File, sanitize(finding.String())) // the exit code also reports the failure
	}
	if len(findings) > 0 {
		return invalid(fmt.Sprintf("%s is not valid; nothing was changed", f.File))
	}
	client, ctx, end, err := c.newClient(s)
	if err != nil {
		return err
	}
	defer end()
	base := f.Base
	if base == nil {
		_, version, err := client.Document(ctx)
		if err != nil {
			return err
		}
		base = &version
	}
	result, err := client.Apply(ctx, document, text, *base)
	if err != nil {
		return Error.New("%w; it is not known whether the document is in force: give the command again with --base=%d", err, *base)
	}
	switch result.Status {
	case fleet.Conflict:
		return &exitError{code: ExitConflict, text: fmt.Sprintf("version %d is in force, not %d; nothing was changed", result.Version, *base)}
	case fleet.TooLarge:
		return invalid("the document is larger than the control replicas accept; nothing was changed")
	case fleet.Refused:
		return invalid(fmt.Sprintf("the version must be above %d; nothing was changed", result.Version))
	}
	s.print("version %d is in force", result.Version)
	return s.printJSON(result)
}

type fleetDrainCommand struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run starts the drain of a data centre.
func (d *fleetDrainCommand) Run(s *session, c *fleetCommand) error {
	return c.drain(s, d.DataCentre, true)
}

type fleetReturnCommand struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
}

// Run ends the drain of a data centre.
func (d *fleetReturnCommand) Run(s *session, c *fleetCommand) error {
	return c.drain(s, d.DataCentre, false)
}

func (c *fleetCommand) drain(s *session, dataCentre string, on bool) error {
	if !utf8.ValidString(dataCentre) {
		return invalid("the name of the data centre is not valid UTF-8")
	}
	client, ctx, end, err := c.newClient(s)
	if err != nil {
		return err
	}
	defer end()
	if on {
		// The control group accepts any name; a wrong one would drain nothing.
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(status.Members, func(m fleet.Member) bool { return m.DataCentre == dataCentre }) {
			return invalid(fmt.Sprintf("no member of data centre %q is known; nothing was changed", dataCentre))
		}
	}
	if err := client.Drain(ctx, dataCentre, on); err != nil {
		return Error.New("%w; give the command again", err)
	}
	s.print("data centre %s: drained %v", dataCentre, on)
	return s.printJSON(map[string]any{"dataCentre": dataCentre, "drained": on})
}
