package bqctl

import (
	"fmt"
	"strconv"

	"bramleyquay.example/router/fleetnode"
)

type fleetAccountsCommand struct{}

// Run prints the division of the limits of accounts once.
func (*fleetAccountsCommand) Run(s *session, c *fleetCommand) error {
	client, ctx, end, err := c.newClient(s)
	if err != nil {
		return err
	}
	defer end()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if status.Leader != status.ID {
		return Error.New("%s does not lead (leader %q), and only the leader knows the division; give the command again", status.ID, status.Leader)
	}
	s.print("%s", fleetAccountsText(status))
	return s.printJSON(map[string]any{"leader": status.Leader, "term": status.Term, "accounts": status.Accounts})
}

func fleetAccountsText(st fleetnode.Status) string {
	decides := fmt.Sprintf("%s divides the limits, term %d", st.Leader, st.Term)
	if len(st.Accounts) == 0 {
		return decides + "\nno account has a limit"
	}
	rows := [][]string{{"ACCOUNT", "RATE/S", "BURST", "DEMAND/S", "ALLOTTED/S", "RESERVE/S", "RESERVE TOKENS", "REFUSED", "PROCESSES", "STATE"}}
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
	for _, a := range st.Accounts {
		state := "divided"
		if a.Restricted {
			state = "waits for reports of processes"
		}
		rows = append(rows, []string{a.Name, number(a.Rate), number(a.Burst), number(a.Demand), number(a.Allotted),
			number(a.ReserveRate), number(a.ReserveTokens), fmt.Sprint(a.Refused), fmt.Sprint(a.Processes), state})
	}
	return decides + "\n\n" + table(rows)
}
