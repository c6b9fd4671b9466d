package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"

	"bramleyquay.example/coord/config"
	"bramleyquay.example/router/document"
	"bramleyquay.example/router/settings"
)

// formView is the data of a document form.
type formView struct {
	Form   documentForm
	Base   uint64
	Groups []*group
	// Elsewhere holds the findings about parts of the document that the form does
	// not show.
	Elsewhere []settings.Finding
	// Unchanged is set if the submitted values do not change the document.
	Unchanged bool
}

// Count returns the number of findings that are errors and prevent saving.
func (v formView) Count() int {
	n := 0
	count := func(findings []settings.Finding) {
		for _, f := range findings {
			if !f.Warning {
				n++
			}
		}
	}
	count(v.Elsewhere)
	for _, g := range v.Groups {
		count(g.Findings)
		for _, f := range g.Fields {
			count(f.Findings)
		}
	}
	return n
}

// loadDocument returns a revision of the document; 0 is the newest. Before the
// first change the document is empty and every automatic action is on.
func (c *console) loadDocument(ctx context.Context, revision uint64) (*config.Document, DocumentReply, error) {
	reply, err := c.control.Document(ctx, revision)
	if err != nil {
		return nil, reply, err
	}
	if len(bytes.TrimSpace([]byte(reply.Text))) == 0 {
		return &config.Document{Automation: config.AllAutomation()}, reply, nil
	}
	d, findings := document.Parse(documentName, []byte(reply.Text))
	if d == nil {
		return nil, reply, &Error{Code: CodeInternal, Text: "the stored document cannot be read: " + findings[0].String()}
	}
	return d, reply, nil
}

func (c *console) showForm(f documentForm) func(*request) {
	return func(r *request) {
		d, reply, err := c.loadDocument(r.Request().Context(), 0)
		if err != nil {
			c.fail(r, err)
			return
		}
		groups := f.bind(&binder{}, d)
		_, findings := document.Parse(documentName, document.Canonical(d))
		c.showGroups(r, http.StatusOK, formView{Form: f, Base: reply.Revision, Groups: groups}, findings)
	}
}

func (c *console) showGroups(r *request, status int, data formView, findings []settings.Finding) {
	data.Elsewhere = attachFindings(data.Groups, findings)
	c.render(r.Context, r.session, status, "form", view{Title: data.Form.title, Active: data.Form.path, Data: data})
}

// submitForm applies the submitted values to the revision of the document that the
// form was made from. It renders the form again if there are errors or nothing is
// changed, and otherwise the diff.
func (c *console) submitForm(f documentForm) func(*request) {
	return func(r *request) {
		base, err := strconv.ParseUint(r.form.Get("base"), 10, 64)
		if err != nil {
			c.fail(r, &Error{Code: CodeInvalid, Text: "The form does not say which revision it was made from."})
			return
		}
		d, reply, err := c.loadDocument(r.Request().Context(), base)
		if err != nil {
			c.fail(r, err)
			return
		}
		before := document.Canonical(d)
		text, groups, findings := applyForm(f, d, r.form)
		data := formView{Form: f, Base: base, Groups: groups}
		if settings.HasErrors(findings) {
			c.showGroups(r, http.StatusUnprocessableEntity, data, findings)
			return
		}
		if bytes.Equal(before, text) && reply.Text != "" {
			data.Unchanged = true
			c.showGroups(r, http.StatusOK, data, findings)
			return
		}
		c.showDifference(r, http.StatusOK, saveView{Base: base, Text: string(text), ChangeID: newChangeID()})
	}
}

// applyForm applies the submitted values to d. It returns the canonical text of d,
// the form's groups of inputs and the findings.
func applyForm(f documentForm, d *config.Document, values url.Values) (text []byte, groups []*group, findings []settings.Finding) {
	b := &binder{values: values}
	groups = f.bind(b, d)
	text = document.Canonical(d)
	_, findings = document.Parse(documentName, text)
	return text, groups, append(b.findings, findings...)
}

func newChangeID() string { return "console-" + randomID() }
