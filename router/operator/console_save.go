package operator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

// saveView is the data of the pages before and after a document is sent.
type saveView struct {
	Base     uint64
	Text     string
	ChangeID string
	Preview  PreviewReply
	// Fault is set if the document was sent and the answer was an error.
	Fault string
	// Theirs is set after a conflict.
	Theirs *Conflict
	// Difference goes from their document to this one.
	Difference string
	Findings   []settings.Finding
}

// LoadPercent returns the share of load on moved units in percent.
func (v saveView) LoadPercent() string { return fmt.Sprintf("%.1f", 100*v.Preview.LoadMoved) }

func (r *request) saveView() (saveView, error) {
	base, err := strconv.ParseUint(r.form.Get("base"), 10, 64)
	if err != nil {
		return saveView{}, &Error{Code: CodeInvalid, Text: "The form does not say which revision it was made from."}
	}
	// Browsers send line breaks of hidden inputs as CR LF.
	text := strings.ReplaceAll(r.form.Get("text"), "\r\n", "\n")
	return saveView{Base: base, Text: text, ChangeID: r.form.Get("change")}, nil
}

// review shows the difference of a whole text to the current document, for an
// older revision or after a conflict.
func (c *console) review(r *request) {
	v, err := r.saveView()
	if err != nil {
		c.fail(r, err)
		return
	}
	v.ChangeID = newChangeID()
	c.showDifference(r, http.StatusOK, v)
}

// showDifference asks for a confirmation. Nothing was changed yet, unless
// Fault says otherwise.
func (c *console) showDifference(r *request, status int, v saveView) {
	preview, err := previewChecked(r.Request().Context(), c.control, v.Text)
	if err != nil {
		c.fail(r, err)
		return
	}
	v.Preview = preview
	c.render(r.Context, r.session, status, "difference", view{Title: "Review the change", Data: v})
}

func (c *console) save(r *request) {
	v, err := r.saveView()
	if err != nil {
		c.fail(r, err)
		return
	}
	reply, err := applyChecked(r.Request().Context(), c.control, ApplyRequest{
		Base: v.Base, ChangeID: v.ChangeID, Author: r.session.Author, Text: v.Text,
	})
	if err != nil {
		e := asError(err)
		if e.RetryIsSafe() && e.Code != CodeUnavailable && e.Code != CodeNotLeader {
			c.fail(r, err)
			return
		}
		c.askAgain(r, v, e)
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

// askAgain offers to send the same change again under the same change id, so
// that a change whose answer was lost is not made twice.
func (c *console) askAgain(r *request, v saveView, e *Error) {
	v.Fault = e.Text + " It is not known whether the change was accepted; sending it again is safe."
	if e.RetryIsSafe() {
		v.Fault = e.Text + " Nothing was changed; sending it again is safe."
	}
	c.render(r.Context, r.session, e.Code.status(), "difference", view{Title: "No answer to the change", Data: v})
}
