package daemon

import (
	"context"
	"net/http"
	"time"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/admin"
	"bramleyquay.example/router/gate"
)

// MethodDump is the jsonrpc2 method that returns the state dump of a process.
const MethodDump = "process.dump"

// dumpTimeout bounds the wait for the control replica's goroutine, which alone can
// read the replica's state.
const dumpTimeout = time.Second

// Dump is the state of one process, for diagnosis. It contains no secrets.
type Dump struct {
	ID          string `json:"id"`
	Version     string `json:"version"`
	DataCentre  string `json:"dataCentre"`
	UptimeMs    int64  `json:"uptimeMs"`
	Incarnation uint64 `json:"incarnation"`
	// LeaseMs is the remaining time of the member's lease; 0 means no lease.
	LeaseMs   int64  `json:"leaseMs"`
	InContact bool   `json:"inContact"`
	Leader    string `json:"leader"`
	Draining  bool   `json:"draining"`

	ConfigRevision    uint64 `json:"configRevision"`
	TableRevision     uint64 `json:"tableRevision"`
	DirectoryRevision uint64 `json:"directoryRevision"`

	Owned     []table.Entry    `json:"owned"`
	Directory []control.Member `json:"directory"`
	Gate      gate.Status      `json:"gate"`
	Ingress   any              `json:"ingress"`
	Replica   *ReplicaDump     `json:"replica,omitempty"`
}

// ReplicaDump is the state of a control replica.
type ReplicaDump struct {
	// Formed says that the control group is bootstrapped.
	Formed     bool        `json:"formed"`
	Status     raft.Status `json:"status"`
	Controller any         `json:"controller,omitempty"`
}

// Dump returns the state of the process. It waits at most dumpTimeout for the state
// of the control replica. It implements admin.Dumper.
func (d *Daemon) Dump() any {
	v := d.agent.View()
	dump := Dump{
		ID: d.cfg.ID, Version: d.version, DataCentre: d.cfg.DataCentre,
		UptimeMs: time.Since(d.started).Milliseconds(), Incarnation: v.Incarnation,
		LeaseMs: d.agent.LeaseRemaining().Milliseconds(), InContact: d.agent.InContact(),
		Leader: d.agent.Leader(), Draining: v.Draining,
		ConfigRevision: v.ConfigRevision, TableRevision: v.Table.Revision(), DirectoryRevision: v.Directory.Revision,
		Owned: []table.Entry{}, Directory: v.Directory.Members(),
		Gate: d.gate.Status(), Ingress: d.ingress.Status(),
	}
	v.Table.Each(func(e *table.Entry) bool {
		if e.Owner == table.MemberID(d.cfg.ID) {
			dump.Owned = append(dump.Owned, *e)
		}
		return true
	})
	if d.control != nil {
		dump.Replica = d.replicaDump()
	}
	return dump
}

// replicaDump returns nil if the replica does not answer within dumpTimeout.
func (d *Daemon) replicaDump() *ReplicaDump {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	var dump ReplicaDump
	var err error
	if dump.Status, dump.Formed, err = d.control.Status(ctx); err != nil {
		return nil
	}
	dump.Controller = d.control.ControllerStatus(ctx)
	return &dump
}

// Healthy returns an error if control has granted no renewal within
// lease.Config.ContactTimeout or has fenced this member, or if no configuration has
// arrived. It implements admin.Dumper.
func (d *Daemon) Healthy() error {
	if !d.agent.InContact() {
		return Error.New("control was not heard from within the contact bound")
	}
	if d.agent.View().Document == nil {
		return Error.New("no configuration has arrived yet")
	}
	return nil
}

func (d *Daemon) adminHandler() http.Handler { return admin.Handler(d) }

func (d *Daemon) dumpRPC(context.Context, struct{}) (any, error) { return d.Dump(), nil }
