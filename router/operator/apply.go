package operator

import (
	"context"
	"net/http"

	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

// documentName stands for the file in findings about a submitted text.
const documentName = "document"

// applyChecked validates a document before it reaches the control leader, so
// that every entry point gives the same findings. Warnings go along with an
// accepted change.
func applyChecked(ctx context.Context, control ControlPlane, request ApplyRequest) (ApplyReply, error) {
	if fault := checkChange(request.ChangeID, request.Author); fault != nil {
		return ApplyReply{}, fault
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

// previewChecked leaves documents with errors out of the control leader's
// work; they move nothing because they would not be accepted.
func previewChecked(ctx context.Context, control ControlPlane, text string) (PreviewReply, error) {
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
