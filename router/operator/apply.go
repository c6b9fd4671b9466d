package operator

import (
	"context"
	"net/http"

	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

// documentName is the file name in findings about a submitted document.
const documentName = "document"

// validateAndApply validates a document before it is sent to the control leader, so
// that the API and the console return the same findings. The reply to an accepted
// change contains the warnings.
func validateAndApply(ctx context.Context, control ControlPlane, request ApplyRequest) (ApplyReply, error) {
	if err := checkChange(request.ChangeID, request.Author); err != nil {
		return ApplyReply{}, err
	}
	_, findings := document.Parse(documentName, []byte(request.Text))
	if settings.HasErrors(findings) {
		return ApplyReply{Findings: findings}, nil
	}
	reply, err := control.Apply(ctx, request)
	if err == nil && len(reply.Findings) == 0 {
		reply.Findings = findings
	}
	return reply, err
}

// validateAndPreview validates a document before its preview. A document with
// errors is not sent to the control leader: it would not be accepted and moves
// nothing.
func validateAndPreview(ctx context.Context, control ControlPlane, text string) (PreviewReply, error) {
	_, findings := document.Parse(documentName, []byte(text))
	if settings.HasErrors(findings) {
		return PreviewReply{Findings: findings}, nil
	}
	reply, err := control.Preview(ctx, text)
	if err == nil && len(reply.Findings) == 0 {
		reply.Findings = findings
	}
	return reply, err
}

// status returns the HTTP status of a reply.
func (r ApplyReply) status() int {
	switch {
	case r.Conflict != nil:
		return http.StatusConflict
	case r.Revision == 0:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusOK
	}
}
