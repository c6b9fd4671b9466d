package operator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/coord/shard"
	"bramleyquay.example/router/document"
)

// Limits of values in operators' requests, in bytes. Change ids and authors are
// written to the replicated log with every change. maxChangeIDBytes also bounds the
// ids of pending actions.
const (
	maxChangeIDBytes = 128
	maxAuthorBytes   = 128
	maxKeyBytes      = 4096
)

func invalid(format string, args ...any) *Error {
	return &Error{Code: CodeInvalid, Text: fmt.Sprintf(format, args...)}
}

// checkChange returns an error unless the change id and the author are set,
// printable and within their limits.
func checkChange(changeID, author string) *Error {
	switch {
	case changeID == "":
		return invalid("changeId is missing: without it a retry would be taken for another change")
	case len(changeID) > maxChangeIDBytes || !printable(changeID):
		return invalid("changeId is longer than %d bytes or not printable", maxChangeIDBytes)
	case strings.TrimSpace(author) == "":
		return invalid("author is missing")
	case len(author) > maxAuthorBytes || !printable(author):
		return invalid("author is longer than %d bytes or not printable", maxAuthorBytes)
	}
	return nil
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}

func checkName(what, name string) *Error {
	if problem := config.CheckName(name); problem != "" {
		return invalid("%s %s", what, problem)
	}
	return nil
}

func checkUnit(unit string) *Error {
	if _, err := shard.Parse(unit); err != nil {
		return invalid("%s", err)
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...*Error) *Error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r DrainRequest) check() *Error {
	if !slices.Contains([]Scope{ScopeTarget, ScopeInstance, ScopeDataCentre}, r.Scope) {
		return invalid("scope is not target, instance or dataCentre")
	}
	return firstError(checkName("name", r.Name), checkChange(r.ChangeID, r.Author))
}

func (r MoveRequest) check() *Error {
	return firstError(checkUnit(r.Unit), checkName("to", r.To), checkChange(r.ChangeID, r.Author))
}

func (r SplitRequest) check() *Error {
	if r.Key == "" || len(r.Key) > maxKeyBytes {
		return invalid("key is empty or longer than %d bytes", maxKeyBytes)
	}
	return firstError(checkName("service", r.Service), checkChange(r.ChangeID, r.Author))
}

func (r MergeRequest) check() *Error {
	unit, err := shard.Parse(r.Unit)
	if err != nil {
		return invalid("%s", err)
	}
	if !unit.IsSplit() {
		return invalid("unit %s is a whole shard; only a split key can be merged", unit)
	}
	return checkChange(r.ChangeID, r.Author)
}

func (r AutomationRequest) check() *Error {
	switch r.Op {
	case AutomationList:
		return nil
	case AutomationApprove, AutomationDismiss:
		if r.ID == "" || len(r.ID) > maxChangeIDBytes || !printable(r.ID) {
			return invalid("id of the pending action is missing or not valid")
		}
	case AutomationOn, AutomationOff:
		if r.Action != AllActions && !slices.Contains(document.Actions(), r.Action) {
			return invalid("action is neither all nor one of %v", document.Actions())
		}
	default:
		return invalid("op is not list, approve, dismiss, on or off")
	}
	return checkChange(r.ChangeID, r.Author)
}

func (r ControlChangeRequest) check() *Error {
	switch r.Op {
	case ControlAdd:
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			return invalid("address %q is not a numeric IP and a port that can be dialled", r.Address)
		}
	case ControlPromote, ControlRemove:
	default:
		return invalid("op is not add, promote or remove")
	}
	return firstError(checkName("id", r.ID), checkChange(r.ChangeID, r.Author))
}
