package operator

import (
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
)

// loginDelay delays the answer to a wrong secret. It slows down guessing over one
// connection; parallel connections are not limited.
const loginDelay = 500 * time.Millisecond

type loginView struct{ Fault, Name string }

func (c *console) showLogin(ctx iris.Context) {
	if s, ok := c.sessions.read(ctx.Request()); ok && s.Author != "" {
		ctx.Redirect("/console/", http.StatusSeeOther)
		return
	}
	c.renderLogin(ctx, http.StatusOK, loginView{})
}

// renderLogin renders the login form with a new session that has no author yet.
func (c *console) renderLogin(ctx iris.Context, status int, data loginView) {
	s := c.sessions.newSession("")
	http.SetCookie(ctx.ResponseWriter(), c.sessions.cookie(s))
	c.render(ctx, s, status, "login", view{Title: "Log in", Data: data})
}

func (c *console) login(ctx iris.Context) {
	r := ctx.Request()
	s, ok := c.sessions.read(r)
	if err := r.ParseForm(); err != nil || !ok || c.origin.Check(r) != nil || !c.sessions.validToken(s, ctx.Path(), r.PostForm.Get("token")) {
		c.renderLogin(ctx, http.StatusForbidden, loginView{Fault: "The form was no longer valid. Please log in again."})
		return
	}
	name := strings.TrimSpace(r.PostForm.Get("name"))
	if err := checkChange("login", name); err != nil {
		c.renderLogin(ctx, http.StatusUnprocessableEntity, loginView{Fault: "Your name is missing or not printable; the history shows it with each change."})
		return
	}
	if !c.auth.matchesSecret(r.PostForm.Get("secret")) {
		time.Sleep(loginDelay)
		c.log.Warn().Str("from", r.RemoteAddr).Str("name", name).Msg("operator: login with a wrong secret")
		c.renderLogin(ctx, http.StatusForbidden, loginView{Fault: "The secret is wrong.", Name: name})
		return
	}
	c.log.Info().Str("from", r.RemoteAddr).Str("name", name).Msg("operator: login")
	http.SetCookie(ctx.ResponseWriter(), c.sessions.cookie(c.sessions.newSession(name)))
	ctx.Redirect("/console/", http.StatusSeeOther)
}

func (c *console) logout(r *request) {
	http.SetCookie(r.ResponseWriter(), c.sessions.expiredCookie())
	r.Redirect("/console/login", http.StatusSeeOther)
}
