package operator

import "net/http"

// drainView is the data of the page that asks before a drain.
type drainView struct {
	Scope    Scope
	Name     string
	On       bool
	ChangeID string
}

func (c *console) askDrain(r *request) {
	v := drainView{Scope: Scope(r.URLParam("scope")), Name: r.URLParam("name"), On: r.URLParam("on") == "true", ChangeID: newChangeID()}
	if fault := (DrainRequest{Scope: v.Scope, Name: v.Name, ChangeID: v.ChangeID, Author: r.session.Author}).check(); fault != nil {
		c.fail(r, fault)
		return
	}
	title := "Return to service?"
	if v.On {
		title = "Take out of service?"
	}
	c.render(r.Context, r.session, http.StatusOK, "drain", view{Title: title, Active: "state", Data: v})
}

func (c *console) drain(r *request) {
	ask := DrainRequest{
		Scope: Scope(r.form.Get("scope")), Name: r.form.Get("name"), On: r.form.Get("on") == "true",
		ChangeID: r.form.Get("change"), Author: r.session.Author,
	}
	if fault := ask.check(); fault != nil {
		c.fail(r, fault)
		return
	}
	result, err := c.control.Drain(r.Request().Context(), ask)
	c.answer(r, ask, result, err)
}

// automation approves or dismisses a pending action. Switches are part of the
// document and have a form of their own.
func (c *console) automation(r *request) {
	ask := AutomationRequest{
		Op: AutomationOp(r.form.Get("op")), ID: r.form.Get("id"),
		ChangeID: r.form.Get("change"), Author: r.session.Author,
	}
	if ask.Op != AutomationApprove && ask.Op != AutomationDismiss {
		c.fail(r, invalid("op is not approve or dismiss"))
		return
	}
	if fault := ask.check(); fault != nil {
		c.fail(r, fault)
		return
	}
	reply, err := c.control.Automation(r.Request().Context(), ask)
	c.answer(r, ask, reply.Result, err)
}

func (c *console) answer(r *request, ask action, result Result, err error) {
	if err != nil {
		c.fail(r, err)
		return
	}
	id, author := ask.change()
	c.log.Info().Str("path", r.Path()).Str("change", id).Str("author", author).Msg("operator: action accepted")
	text := result.Text
	if result.Already {
		text += " There was nothing left to do."
	}
	c.message(r, http.StatusOK, "Done", text)
}

// decision is the data of a button that approves or dismisses.
type decision struct{ Token, Op, ID, Label string }

func newDecision(token, op, id, label string) decision { return decision{token, op, id, label} }
