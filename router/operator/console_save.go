package operator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

// saveView is the data of the pages that are shown before and after a document is
// submitted.
type saveView struct {
	Base     uint64
	Text     string
	ChangeID string
	Preview  PreviewReply
	// Fault is the error text if the document was submitted and an error was
	// returned.
	Fault string
	// Theirs is the current document after a conflict.
	Theirs *Conflict
	// Difference is the diff from Theirs to Text.
	Difference string
	// Findings are the reasons if the document was not accepted.
	Findings []settings.Finding
}

// LoadPercent returns Preview.LoadMoved in percent.
func (v saveView) LoadPercent() string { return fmt.Sprintf("%.1f", 100*v.Preview.LoadMoved) }

// parseSaveForm reads the hidden inputs of the pages that submit a whole document.
func (r *request) parseSaveForm() (saveView, error) {
	base, err := strconv.ParseUint(r.form.Get("base"), 10, 64)
	if err != nil {
		return saveView{}, &Error{Code: CodeInvalid, Text: "The form does not say which revision it was made from."}
	}
	// Browsers submit line breaks as CR LF.
	text := strings.ReplaceAll(r.form.Get("text"), "\r\n", "\n")
	return saveView{Base: base, Text: text, ChangeID: r.form.Get("change")}, nil
}

// review renders the diff from the current document to a submitted one, which is
// an older revision or the operator's text after a conflict.
func (c *console) review(r *request) {
	v, err := r.parseSaveForm()
	if err != nil {
		c.fail(r, err)
		return
	}
	v.ChangeID = newChangeID()
	c.showDifference(r, http.StatusOK, v)
}

// showDifference renders the diff from the current document to v.Text with a button
// that saves it. Nothing was changed yet. offerRetry renders the same page with
// Fault after a submission.
func (c *console) showDifference(r *request, status int, v saveView) {
	preview, err := validateAndPreview(r.Request().Context(), c.control, v.Text)
	if err != nil {
		c.fail(r, err)
		return
	}
	v.Preview = preview
	c.render(r.Context, r.session, status, "difference", view{Title: "Review the change", Data: v})
}

func (c *console) save(r *request) {
	v, err := r.parseSaveForm()
	if err != nil {
		c.fail(r, err)
		return
	}
	reply, err := validateAndApply(r.Request().Context(), c.control, ApplyRequest{
		Base: v.Base, ChangeID: v.ChangeID, Author: r.session.Author, Text: v.Text,
	})
	if err != nil {
		e := asError(err)
		if e.RetryIsSafe() && e.Code != CodeUnavailable && e.Code != CodeNotLeader {
			c.fail(r, err)
			return
		}
		c.offerRetry(r, v, e)
		return
	}
	c.log.Info().Str("author", r.session.Author).Str("change", v.ChangeID).Uint64("base", v.Base).Uint64("revision", reply.Revision).Msg("operator: document received")
	switch {
	case reply.Conflict != nil:
		v.Theirs = reply.Conflict
		v.Difference = document.Compare(reply.Conflict.Text, v.Text)
		c.render(r.Context, r.session, http.StatusConflict, "conflict", view{Title: "Another change came first", Data: v})
	case reply.Revision == 0:
		v.Findings = reply.Findings
		c.render(r.Context, r.session, http.StatusUnprocessableEntity, "refused", view{Title: "The document was not accepted", Data: v})
	default:
		r.Redirect(fmt.Sprintf("/console/history?saved=%d", reply.Revision), http.StatusSeeOther)
	}
}

// offerRetry renders a button that submits the change again with the same change
// id, so that a change whose response was lost is not applied twice.
func (c *console) offerRetry(r *request, v saveView, e *Error) {
	v.Fault = e.Text + " It is not known whether the change was accepted; sending it again is safe."
	if e.RetryIsSafe() {
		v.Fault = e.Text + " Nothing was changed; sending it again is safe."
	}
	c.render(r.Context, r.session, e.Code.status(), "difference", view{Title: "No answer to the change", Data: v})
}
