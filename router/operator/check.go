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

// Bounds of what goes into the replicated log with every change, in bytes.
const (
	maxChangeID = 128
	maxAuthor   = 128
	maxKey      = 4096
)

func invalid(format string, args ...any) *Error {
	return &Error{Code: CodeInvalid, Text: fmt.Sprintf(format, args...)}
}

func checkChange(changeID, author string) *Error {
	switch {
	case changeID == "":
		return invalid("changeId is missing: without it a resend would be another change")
	case len(changeID) > maxChangeID || !printable(changeID):
		return invalid("changeId is longer than %d bytes or not printable", maxChangeID)
	case strings.TrimSpace(author) == "":
		return invalid("author is missing")
	case len(author) > maxAuthor || !printable(author):
		return invalid("author is longer than %d bytes or not printable", maxAuthor)
	}
	return nil
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}

func checkName(what, name string) *Error {
	if fault := config.CheckName(name); fault != "" {
		return invalid("%s %s", what, fault)
	}
	return nil
}

func checkUnit(unit string) *Error {
	if _, err := shard.Parse(unit); err != nil {
		return invalid("%s", err)
	}
	return nil
}

// firstFault returns the first fault that is not nil.
func firstFault(faults ...*Error) *Error {
	for _, f := range faults {
		if f != nil {
			return f
		}
	}
	return nil
}

func (r DrainRequest) check() *Error {
	if !slices.Contains([]Scope{ScopeTarget, ScopeInstance, ScopeDataCentre}, r.Scope) {
		return invalid("scope is not target, instance or dataCentre")
	}
	return firstFault(checkName("name", r.Name), checkChange(r.ChangeID, r.Author))
}

func (r MoveRequest) check() *Error {
	return firstFault(checkUnit(r.Unit), checkName("to", r.To), checkChange(r.ChangeID, r.Author))
}

func (r SplitRequest) check() *Error {
	if r.Key == "" || len(r.Key) > maxKey {
		return invalid("key is empty or longer than %d bytes", maxKey)
	}
	return firstFault(checkName("service", r.Service), checkChange(r.ChangeID, r.Author))
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
		if r.ID == "" || len(r.ID) > maxChangeID || !printable(r.ID) {
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
	return firstFault(checkName("id", r.ID), checkChange(r.ChangeID, r.Author))
}
