package bqctl

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"bramleyquay.example/router/operator"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

var cellEscaper = strings.NewReplacer("\n", `\n`, "\t", `\t`)

// table aligns columns. The last line has no line break. Line breaks and tabs in a cell,
// which would look like other cells, are escaped.
func table(rows [][]string) string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i := range row {
			cells[i] = cellEscaper.Replace(row[i])
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // a strings.Builder does not fail
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n")
}

// statusText formats the whole state, with the shortest and most urgent parts
// first.
func statusText(s operator.Status) string {
	parts := []string{summaryText(s), dataCentresTable(s)}
	if len(s.Pending) > 0 {
		parts = append(parts, pendingTable(s.Pending))
	}
	parts = append(parts, servicesTable(s))
	if len(s.Moves) > 0 {
		parts = append(parts, movesTable(s))
	}
	parts = append(parts, replicasTable(s), membersTable(s))
	return strings.Join(parts, "\n\n")
}

func summaryText(s operator.Status) string {
	leader := s.Leader
	if leader == "" {
		leader = "none"
	}
	summary := fmt.Sprintf("cluster %s at %s, leader %s in term %d, table revision %d\n", s.Cluster, s.At.Format("2006-01-02 15:04:05 MST"), leader, s.Term, s.TableRevision)
	if s.Config.Everywhere {
		summary += fmt.Sprintf("configuration revision %d, at all members after %d ms", s.Config.Revision, s.Config.EverywhereMs)
	} else {
		summary += fmt.Sprintf("configuration revision %d, missing at %d members after %d ms", s.Config.Revision, s.Config.Missing, s.Config.EverywhereMs)
	}
	if s.Automation.AllOff {
		summary += "\nall automatic actions are off"
	}
	return summary
}

func dataCentresTable(s operator.Status) string {
	rows := [][]string{{"DATA CENTRE", "STATE", "MEMBERS", "UNITS", "RUNNING", "SLOTS", "QUEUED", "REQUESTS/S"}}
	for _, dc := range s.DataCentres {
		state := "in service"
		if dc.Drained {
			state = "drained"
		}
		rows = append(rows, []string{dc.Name, state, strconv.Itoa(dc.Members), strconv.Itoa(dc.Units), strconv.Itoa(dc.Running), strconv.Itoa(dc.Slots), strconv.Itoa(dc.Queued), fmt.Sprintf("%.0f", dc.Rate)})
	}
	return table(rows)
}

func servicesTable(s operator.Status) string {
	rows := [][]string{{"SERVICE", "UNITS", "WITHOUT OWNER", "LONGEST GAP"}}
	for _, service := range s.Services {
		rows = append(rows, []string{service.Name, strconv.Itoa(service.Units), strconv.Itoa(service.Unserved), fmt.Sprintf("%d ms", service.LongestGapMs)})
	}
	return table(rows)
}

func movesTable(s operator.Status) string {
	rows := [][]string{{"MOVING UNIT", "FROM", "TO", "FOR", "REASON"}}
	for _, m := range s.Moves {
		rows = append(rows, []string{m.Unit, m.From, m.To, fmt.Sprintf("%d ms", m.SinceMs), m.Reason})
	}
	return table(rows)
}

func replicasTable(s operator.Status) string {
	rows := [][]string{{"REPLICA", "ADDRESS", "ROLE", "POSITION", "BEHIND", "REACHABLE"}}
	for _, r := range s.Replicas {
		role := "learner"
		switch {
		case r.ID == s.Leader:
			role = "leader"
		case r.Voter:
			role = "voter"
		}
		rows = append(rows, []string{r.ID, r.Address, role, formatUint(r.Position), formatUint(r.Behind), strconv.FormatBool(r.Reachable)})
	}
	return table(rows)
}

func membersTable(s operator.Status) string {
	rows := [][]string{{"MEMBER", "DATA CENTRE", "SERVICE", "STATE", "RUNNING", "LIMIT", "SLOTS", "QUEUED", "LEASE", "UNITS", "REVISION", "AFTER"}}
	for _, m := range s.Members {
		state := string(m.State)
		if m.Ramping {
			state += ", ramping"
		}
		rows = append(rows, []string{
			m.ID, m.DataCentre, m.Service, state, strconv.Itoa(m.Load.Running), strconv.Itoa(m.Load.Limit), strconv.Itoa(m.Slots), strconv.Itoa(m.Load.Queued),
			fmt.Sprintf("%d ms", m.LeaseRemainingMs), strconv.Itoa(m.Units), formatUint(m.ConfigRevision), fmt.Sprintf("%d ms", m.ConfigDelayMs),
		})
	}
	return table(rows)
}
