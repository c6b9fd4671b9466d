package operator

import "net/http"

// drainView is the data of the page that asks to confirm a drain or its end.
type drainView struct {
	Scope    Scope
	Name     string
	On       bool
	ChangeID string
}

func (c *console) confirmDrain(r *request) {
	v := drainView{Scope: Scope(r.URLParam("scope")), Name: r.URLParam("name"), On: r.URLParam("on") == "true", ChangeID: newChangeID()}
	if err := (DrainRequest{Scope: v.Scope, Name: v.Name, ChangeID: v.ChangeID, Author: r.session.Author}).check(); err != nil {
		c.fail(r, err)
		return
	}
	title := "Return to service?"
	if v.On {
		title = "Take out of service?"
	}
	c.render(r.Context, r.session, http.StatusOK, "drain", view{Title: title, Active: "state", Data: v})
}

func (c *console) drain(r *request) {
	req := DrainRequest{
		Scope: Scope(r.form.Get("scope")), Name: r.form.Get("name"), On: r.form.Get("on") == "true",
		ChangeID: r.form.Get("change"), Author: r.session.Author,
	}
	if err := req.check(); err != nil {
		c.fail(r, err)
		return
	}
	result, err := c.control.Drain(r.Request().Context(), req)
	c.renderResult(r, req, result, err)
}

// automation approves or dismisses a pending action. Switches are part of the
// document and are edited in a document form.
func (c *console) automation(r *request) {
	req := AutomationRequest{
		Op: AutomationOp(r.form.Get("op")), ID: r.form.Get("id"),
		ChangeID: r.form.Get("change"), Author: r.session.Author,
	}
	if req.Op != AutomationApprove && req.Op != AutomationDismiss {
		c.fail(r, invalid("op is not approve or dismiss"))
		return
	}
	if err := req.check(); err != nil {
		c.fail(r, err)
		return
	}
	reply, err := c.control.Automation(r.Request().Context(), req)
	c.renderResult(r, req, reply.Result, err)
}

// renderResult renders the result of an action and logs an accepted one.
func (c *console) renderResult(r *request, req action, result Result, err error) {
	if err != nil {
		c.fail(r, err)
		return
	}
	id, author := req.change()
	c.log.Info().Str("path", r.Path()).Str("change", id).Str("author", author).Msg("operator: action accepted")
	text := result.Text
	if result.Already {
		text += " There was nothing left to do."
	}
	c.renderMessage(r, http.StatusOK, "Done", text)
}

// decision is the data of a button that approves or dismisses a pending action.
type decision struct{ Token, Op, ID, Label string }

func newDecision(token, op, id, label string) decision { return decision{token, op, id, label} }
