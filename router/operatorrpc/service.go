package operatorrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramleyquay.example/coord/control"
	"bramleyquay.example/coord/raft"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/coord/table"
	"bramleyquay.example/router/controlnode"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// Service implements operator.ControlPlane on the control replica of this
// process. On a replica that does not lead, methods return *peer.NotLeaderError.
type Service struct {
	node    *controlnode.Replica
	rpc     RPCClient
	cluster string
	// dumpMethod is the RPC method that returns a process's state dump.
	dumpMethod string
	firstSeen  *firstSeen
}

// NewService returns a Service on a control replica. rpc reaches the members whose
// state dump is requested by dumpMethod.
func NewService(node *controlnode.Replica, rpc RPCClient, cluster, dumpMethod string) *Service {
	return &Service{node: node, rpc: rpc, cluster: cluster, dumpMethod: dumpMethod, firstSeen: newFirstSeen()}
}

// propose commits a command. A refusal is returned as an *operator.Error, except
// for a conflict, which the caller finds in the result.
func (svc *Service) propose(ctx context.Context, c control.Command) (control.Result, error) {
	result, err := svc.node.Propose(ctx, c)
	return result, svc.commandError(result, err)
}

// commandError returns the error that operators get for the result of a command.
// It is nil for an accepted command and for a conflict.
func (svc *Service) commandError(result control.Result, err error) error {
	switch {
	case err != nil:
		return svc.operatorError(err)
	case result.Accepted() || result.Refusal == control.RefusedConflict:
		return nil
	default:
		return &operator.Error{Code: codeOf(result.Refusal), Text: result.Detail}
	}
}

// operatorError returns a *peer.NotLeaderError as it is and any other error with
// CodeUnknown, because a command may still be committed. Reads use it too, although
// they change nothing.
func (svc *Service) operatorError(err error) error {
	var notLeader *peer.NotLeaderError
	if errors.As(err, &notLeader) {
		return notLeader
	}
	return &operator.Error{Code: operator.CodeUnknown, Text: err.Error() + "; give the same command again"}
}

func codeOf(r control.Refusal) operator.Code {
	switch r {
	case control.RefusedNotFound:
		return operator.CodeNotFound
	case control.RefusedNotReady, control.RefusedStale:
		return operator.CodeUnsafe
	default:
		return operator.CodeInvalid
	}
}

// Apply implements operator.ControlPlane. It stores the canonical form of the text,
// without layout and comments. Findings prevent the change only if the text cannot
// be parsed: package operator refuses documents with errors before it calls Apply.
func (svc *Service) Apply(ctx context.Context, req operator.ApplyRequest) (operator.ApplyReply, error) {
	doc, findings := document.Parse("document", []byte(req.Text))
	if doc == nil {
		return operator.ApplyReply{Findings: findings}, nil
	}
	result, err := svc.propose(ctx, control.Command{ApplyDocument: &control.ApplyDocument{
		Base: req.Base, ChangeID: req.ChangeID, Author: req.Author, Text: document.Canonical(doc),
		AtMs: time.Now().UnixMilli(),
	}})
	if err != nil {
		return operator.ApplyReply{}, err
	}
	if result.Refusal != control.RefusedConflict {
		return operator.ApplyReply{Revision: result.ConfigRevision}, nil
	}
	current, err := svc.Document(ctx, 0)
	if err != nil {
		return operator.ApplyReply{}, err
	}
	return operator.ApplyReply{Conflict: &operator.Conflict{Revision: current.Revision, Author: current.Author, Text: current.Text}}, nil
}

// History implements operator.ControlPlane.
func (svc *Service) History(ctx context.Context) ([]operator.Change, error) {
	var list []operator.Change
	err := svc.read(ctx, func(s *control.State, _ *control.Controller) {
		for _, d := range s.DocumentHistory(historyLength) {
			list = append(list, operator.Change{Revision: d.Revision, Author: d.Author, ChangeID: d.ChangeID, At: time.UnixMilli(d.AtMs)})
		}
	})
	return list, err
}

// historyLength is the number of documents that control.State retains, its
// maxDocuments.
const historyLength = 200

// Document implements operator.ControlPlane.
func (svc *Service) Document(ctx context.Context, revision uint64) (operator.DocumentReply, error) {
	var reply operator.DocumentReply
	found := false
	err := svc.read(ctx, func(s *control.State, _ *control.Controller) {
		for _, d := range s.DocumentHistory(historyLength) {
			if revision == 0 || d.Revision == revision {
				reply, found = operator.DocumentReply{Revision: d.Revision, Author: d.Author, Text: string(d.Text), At: time.UnixMilli(d.AtMs)}, true
				return
			}
		}
	})
	if err == nil && !found && revision != 0 {
		err = &operator.Error{Code: operator.CodeNotFound, Text: fmt.Sprintf("revision %d is not in the history", revision)}
	}
	return reply, err
}

func (svc *Service) read(ctx context.Context, f func(*control.State, *control.Controller)) error {
	if err := svc.node.Read(ctx, f); err != nil {
		return svc.operatorError(err)
	}
	return nil
}

// Drain implements operator.ControlPlane.
func (svc *Service) Drain(ctx context.Context, req operator.DrainRequest) (operator.Result, error) {
	_, err := svc.propose(ctx, control.Command{SetDrain: &control.SetDrain{
		Scope: control.DrainScope(req.Scope), Name: req.Name, On: req.On, ChangeID: req.ChangeID, Author: req.Author,
	}})
	if err != nil {
		return operator.Result{}, err
	}
	if req.On {
		svc.transferIfDrained(ctx, req)
		return operator.Result{Text: fmt.Sprintf("%s %s is being drained; it receives no new work and its units move away", req.Scope, req.Name)}, nil
	}
	return operator.Result{Text: fmt.Sprintf("%s %s returns to service", req.Scope, req.Name)}, nil
}

// transferIfDrained transfers leadership to a replica that the drain does not name
// if it names this replica's member or data centre. The scope is ignored, and a
// drain by IP address is not recognized. Errors are ignored: the drain is committed
// and does not depend on the transfer.
func (svc *Service) transferIfDrained(ctx context.Context, req operator.DrainRequest) {
	drained := map[string]bool{}
	err := svc.node.Read(ctx, func(s *control.State, _ *control.Controller) {
		for _, m := range s.Members() {
			if req.Name == m.DataCentre || req.Name == string(m.ID) {
				drained[string(m.ID)] = true
			}
		}
	})
	st, bootstrapped, statusErr := svc.node.Status(ctx)
	if err != nil || statusErr != nil || !bootstrapped || !drained[controlnode.NameOf(st.ID)] {
		return
	}
	_ = svc.node.Transfer(ctx, func(id raft.ID) bool { return drained[controlnode.NameOf(id)] }) // this replica keeps leading if no other can
}

// moveAttempts bounds the attempts of a move. An attempt fails if the unit's epoch
// changed after it was read, for example because a copy of its idempotency records
// was added.
const moveAttempts = 5

// Move implements operator.ControlPlane.
func (svc *Service) Move(ctx context.Context, req operator.MoveRequest) (operator.Result, error) {
	var last error
	for range moveAttempts {
		unit, e, err := svc.tableEntry(ctx, req.Unit)
		if err != nil {
			return operator.Result{}, err
		}
		if string(e.Owner) == req.To || (e.Phase == table.Moving && string(e.NextOwner) == req.To) {
			return operator.Result{Text: fmt.Sprintf("unit %s is already at %s or moving there", unit, req.To), Already: true}, nil
		}
		result, err := svc.node.Propose(ctx, control.Command{BeginMove: &control.BeginMove{
			Unit: unit, Epoch: e.Epoch, To: table.MemberID(req.To), ChangeID: req.ChangeID, Author: req.Author,
		}})
		last = svc.commandError(result, err)
		if err != nil || result.Refusal != control.RefusedStale {
			return operator.Result{Text: fmt.Sprintf("unit %s moves from %s to %s", unit, e.Owner, req.To)}, last
		}
	}
	return operator.Result{}, last
}

// tableEntry parses the printed form of a unit and returns the unit and its table
// entry. The error has CodeInvalid if text is not a unit, and CodeNotFound if the
// table has no entry for it.
func (svc *Service) tableEntry(ctx context.Context, text string) (shard.Unit, table.Entry, error) {
	unit, err := shard.Parse(text)
	if err != nil {
		return unit, table.Entry{}, &operator.Error{Code: operator.CodeInvalid, Text: err.Error()}
	}
	var found *table.Entry
	if err := svc.read(ctx, func(s *control.State, _ *control.Controller) { found = s.Table().Entry(unit) }); err != nil {
		return unit, table.Entry{}, err
	}
	if found == nil {
		return unit, table.Entry{}, &operator.Error{Code: operator.CodeNotFound, Text: "there is no unit " + text}
	}
	return unit, *found, nil
}

// Split implements operator.ControlPlane.
func (svc *Service) Split(ctx context.Context, req operator.SplitRequest) (operator.Result, error) {
	keyspace, covered := "", false
	err := svc.read(ctx, func(s *control.State, _ *control.Controller) {
		_, doc, _ := s.Document()
		if service := doc.Service(req.Service); service != nil && service.Sharded() {
			keyspace, covered = service.KeyspaceOf(req.Key)
		}
	})
	if err != nil {
		return operator.Result{}, err
	}
	if !covered {
		return operator.Result{}, &operator.Error{Code: operator.CodeNotFound, Text: "no sharded service with a rule for this key has that name"}
	}
	_, err = svc.propose(ctx, control.Command{SplitKey: &control.SplitKey{
		Keyspace: keyspace, Hash: shard.Hash(req.Key), ChangeID: req.ChangeID, Author: req.Author,
	}})
	return operator.Result{Text: fmt.Sprintf("key %q of %s is a unit of its own", req.Key, req.Service)}, err
}

// Merge implements operator.ControlPlane.
func (svc *Service) Merge(ctx context.Context, req operator.MergeRequest) (operator.Result, error) {
	unit, err := shard.Parse(req.Unit)
	if err != nil {
		return operator.Result{}, &operator.Error{Code: operator.CodeInvalid, Text: err.Error()}
	}
	_, err = svc.propose(ctx, control.Command{MergeKey: &control.MergeKey{Unit: unit, ChangeID: req.ChangeID, Author: req.Author}})
	return operator.Result{Text: fmt.Sprintf("unit %s is merged into its shard", unit)}, err
}

// Dump implements operator.ControlPlane.
func (svc *Service) Dump(ctx context.Context, member string) (json.RawMessage, error) {
	addr := ""
	err := svc.read(ctx, func(s *control.State, _ *control.Controller) {
		if m, ok := s.Member(table.MemberID(member)); ok {
			addr = m.PeerAddr
		}
	})
	if err != nil {
		return nil, err
	}
	if addr == "" {
		return nil, &operator.Error{Code: operator.CodeNotFound, Text: "no member is named " + member}
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	var dump json.RawMessage
	if err := svc.rpc.Call(ctx, addr, svc.dumpMethod, noParams{}, &dump); err != nil {
		return nil, &operator.Error{Code: operator.CodeUnavailable, Text: member + " did not answer: " + err.Error()}
	}
	return dump, nil
}

// dumpTimeout bounds the call for one process's dump.
const dumpTimeout = 2 * time.Second
