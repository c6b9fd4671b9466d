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

// Service carries out operators' requests on the control replica of this
// process. On a replica that does not lead it returns *peer.NotLeaderError.
type Service struct {
	node    *controlnode.Replica
	caller  Caller
	cluster string
	// dumpMethod is the jsonrpc2 method of a process's state dump.
	dumpMethod string
	watch      *watch
}

// NewLocal returns the operators' side of a control replica.
func NewLocal(node *controlnode.Replica, caller Caller, cluster, dumpMethod string) *Service {
	return &Service{node: node, caller: caller, cluster: cluster, dumpMethod: dumpMethod, watch: newWatch()}
}

// propose commits a command and turns a refusal into an error that operators
// can act on.
func (l *Service) propose(ctx context.Context, c control.Command) (control.Result, error) {
	result, err := l.node.Propose(ctx, c)
	return result, l.outcome(result, err)
}

// outcome turns what became of a command into an error for operators.
func (l *Service) outcome(result control.Result, err error) error {
	switch {
	case err != nil:
		return l.failure(err)
	case result.Accepted() || result.Refusal == control.RefusedConflict:
		return nil
	default:
		return &operator.Error{Code: codeOf(result.Refusal), Text: result.Detail}
	}
}

// failure keeps NotLeaderError and reports everything else as unknown: the
// command may still be committed.
func (l *Service) failure(err error) error {
	var nl *peer.NotLeaderError
	if errors.As(err, &nl) {
		return nl
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

// Apply implements operator.ControlPlane.
func (l *Service) Apply(ctx context.Context, q operator.ApplyRequest) (operator.ApplyReply, error) {
	doc, findings := document.Parse("document", []byte(q.Text))
	if doc == nil {
		return operator.ApplyReply{Findings: findings}, nil
	}
	result, err := l.propose(ctx, control.Command{ApplyDocument: &control.ApplyDocument{
		Base: q.Base, ChangeID: q.ChangeID, Author: q.Author, Text: document.Canonical(doc),
		AtMs: time.Now().UnixMilli(),
	}})
	if err != nil {
		return operator.ApplyReply{}, err
	}
	if result.Refusal != control.RefusedConflict {
		return operator.ApplyReply{Revision: result.ConfigRevision}, nil
	}
	current, err := l.Document(ctx, 0)
	if err != nil {
		return operator.ApplyReply{}, err
	}
	return operator.ApplyReply{Conflict: &operator.Conflict{Revision: current.Revision, Author: current.Author, Text: current.Text}}, nil
}

// History implements operator.ControlPlane.
func (l *Service) History(ctx context.Context) ([]operator.Change, error) {
	var list []operator.Change
	err := l.read(ctx, func(s *control.State, _ *control.Controller) {
		for _, d := range s.DocumentHistory(historyLength) {
			list = append(list, operator.Change{Revision: d.Revision, Author: d.Author, ChangeID: d.ChangeID, At: time.UnixMilli(d.AtMs)})
		}
	})
	return list, err
}

// historyLength is the number of revisions that control keeps.
const historyLength = 200

// Document implements operator.ControlPlane.
func (l *Service) Document(ctx context.Context, revision uint64) (operator.DocumentReply, error) {
	var reply operator.DocumentReply
	found := false
	err := l.read(ctx, func(s *control.State, _ *control.Controller) {
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

func (l *Service) read(ctx context.Context, f func(*control.State, *control.Controller)) error {
	if err := l.node.Read(ctx, f); err != nil {
		return l.failure(err)
	}
	return nil
}

// Drain implements operator.ControlPlane.
func (l *Service) Drain(ctx context.Context, q operator.DrainRequest) (operator.Result, error) {
	_, err := l.propose(ctx, control.Command{SetDrain: &control.SetDrain{
		Scope: control.DrainScope(q.Scope), Name: q.Name, On: q.On, ChangeID: q.ChangeID, Author: q.Author,
	}})
	if err != nil {
		return operator.Result{}, err
	}
	if q.On {
		l.leaveDrained(ctx, q)
		return operator.Result{Text: fmt.Sprintf("%s %s is being drained; it receives no new work and its units move away", q.Scope, q.Name)}, nil
	}
	return operator.Result{Text: fmt.Sprintf("%s %s returns to service", q.Scope, q.Name)}, nil
}

// leaveDrained hands leadership away if this replica stands in what is
// drained. The drain is in force either way.
func (l *Service) leaveDrained(ctx context.Context, q operator.DrainRequest) {
	drained := map[string]bool{}
	err := l.node.Read(ctx, func(s *control.State, _ *control.Controller) {
		for _, m := range s.Members() {
			if q.Name == m.DataCentre || q.Name == string(m.ID) {
				drained[string(m.ID)] = true
			}
		}
	})
	st, formed, statusErr := l.node.Status(ctx)
	if err != nil || statusErr != nil || !formed || !drained[controlnode.NameOf(st.ID)] {
		return
	}
	_ = l.node.Transfer(ctx, func(id raft.ID) bool { return drained[controlnode.NameOf(id)] }) // it stays if nobody else can lead
}

// moveAttempts bounds the repeats of a move whose unit changed in between, for
// example because a record copy joined.
const moveAttempts = 5

// Move implements operator.ControlPlane.
func (l *Service) Move(ctx context.Context, q operator.MoveRequest) (operator.Result, error) {
	var last error
	for range moveAttempts {
		unit, e, err := l.entry(ctx, q.Unit)
		if err != nil {
			return operator.Result{}, err
		}
		if string(e.Owner) == q.To || (e.Phase == table.Moving && string(e.NextOwner) == q.To) {
			return operator.Result{Text: fmt.Sprintf("unit %s is at %s or on its way there already", unit, q.To), Already: true}, nil
		}
		result, err := l.node.Propose(ctx, control.Command{BeginMove: &control.BeginMove{
			Unit: unit, Epoch: e.Epoch, To: table.MemberID(q.To), ChangeID: q.ChangeID, Author: q.Author,
		}})
		last = l.outcome(result, err)
		if err != nil || result.Refusal != control.RefusedStale {
			return operator.Result{Text: fmt.Sprintf("unit %s moves from %s to %s", unit, e.Owner, q.To)}, last
		}
	}
	return operator.Result{}, last
}

// entry reads the entry of a unit in its printed form.
func (l *Service) entry(ctx context.Context, text string) (shard.Unit, table.Entry, error) {
	unit, err := shard.Parse(text)
	if err != nil {
		return unit, table.Entry{}, &operator.Error{Code: operator.CodeInvalid, Text: err.Error()}
	}
	var found *table.Entry
	if err := l.read(ctx, func(s *control.State, _ *control.Controller) { found = s.Table().Entry(unit) }); err != nil {
		return unit, table.Entry{}, err
	}
	if found == nil {
		return unit, table.Entry{}, &operator.Error{Code: operator.CodeNotFound, Text: "there is no unit " + text}
	}
	return unit, *found, nil
}

// Split implements operator.ControlPlane.
func (l *Service) Split(ctx context.Context, q operator.SplitRequest) (operator.Result, error) {
	keyspace, covered := "", false
	err := l.read(ctx, func(s *control.State, _ *control.Controller) {
		_, doc, _ := s.Document()
		if service := doc.Service(q.Service); service != nil && service.Sharded() {
			keyspace, covered = service.KeyspaceOf(q.Key)
		}
	})
	if err != nil {
		return operator.Result{}, err
	}
	if !covered {
		return operator.Result{}, &operator.Error{Code: operator.CodeNotFound, Text: "no sharded service with a rule for this key has that name"}
	}
	_, err = l.propose(ctx, control.Command{SplitKey: &control.SplitKey{
		Keyspace: keyspace, Hash: shard.Hash(q.Key), ChangeID: q.ChangeID, Author: q.Author,
	}})
	return operator.Result{Text: fmt.Sprintf("key %q of %s is a unit of its own", q.Key, q.Service)}, err
}

// Merge implements operator.ControlPlane.
func (l *Service) Merge(ctx context.Context, q operator.MergeRequest) (operator.Result, error) {
	unit, err := shard.Parse(q.Unit)
	if err != nil {
		return operator.Result{}, &operator.Error{Code: operator.CodeInvalid, Text: err.Error()}
	}
	_, err = l.propose(ctx, control.Command{MergeKey: &control.MergeKey{Unit: unit, ChangeID: q.ChangeID, Author: q.Author}})
	return operator.Result{Text: fmt.Sprintf("unit %s is merged into its shard", unit)}, err
}

// Dump implements operator.ControlPlane.
func (l *Service) Dump(ctx context.Context, member string) (json.RawMessage, error) {
	addr := ""
	err := l.read(ctx, func(s *control.State, _ *control.Controller) {
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
	if err := l.caller.Call(ctx, addr, l.dumpMethod, none{}, &dump); err != nil {
		return nil, &operator.Error{Code: operator.CodeUnavailable, Text: member + " does not answer: " + err.Error()}
	}
	return dump, nil
}

// dumpTimeout bounds the wait for one process's dump.
const dumpTimeout = 2 * time.Second
