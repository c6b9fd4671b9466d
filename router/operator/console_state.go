package operator

import (
	"net/http"
	"strconv"
)

// stateView is the data of the state page.
type stateView struct {
	Status Status
	Chart  chart
}

// refreshSeconds is the interval at which the state page reloads if the operator
// turned that on.
const refreshSeconds = 5

func (c *console) showState(r *request) {
	status, err := c.control.Status(r.Request().Context())
	if err != nil {
		c.fail(r, err)
		return
	}
	v := view{Title: "State", Active: "state", Data: stateView{Status: status, Chart: newChart(status.DataCentres)}}
	if r.URLParam("refresh") != "" {
		v.Refresh = refreshSeconds
	}
	c.render(r.Context, r.session, http.StatusOK, "state", v)
}

type historyView struct {
	Changes []Change
	// Saved is the revision that was just accepted, or 0.
	Saved uint64
}

func (c *console) showHistory(r *request) {
	changes, err := c.control.History(r.Request().Context())
	if err != nil {
		c.fail(r, err)
		return
	}
	saved, _ := strconv.ParseUint(r.URLParam("saved"), 10, 64) // 0, for a missing or malformed value, shows no message
	c.render(r.Context, r.session, http.StatusOK, "history", view{Title: "History", Active: "history", Data: historyView{changes, saved}})
}

type documentView struct {
	Document DocumentReply
	// Current is the number of the newest revision.
	Current uint64
}

func (c *console) showDocument(r *request) {
	revision, err := strconv.ParseUint(r.Params().Get("revision"), 10, 64)
	if err != nil {
		c.fail(r, &Error{Code: CodeInvalid, Text: "The revision is not a whole number."})
		return
	}
	shown, err := c.control.Document(r.Request().Context(), revision)
	if err != nil {
		c.fail(r, err)
		return
	}
	newest, err := c.control.Document(r.Request().Context(), 0)
	if err != nil {
		c.fail(r, err)
		return
	}
	c.render(r.Context, r.session, http.StatusOK, "document", view{Title: "Revision " + strconv.FormatUint(shown.Revision, 10), Active: "history", Data: documentView{shown, newest.Revision}})
}
