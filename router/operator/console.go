package operator

import (
	"bytes"
	"embed"
	"html/template"
	"net/http"
	"net/url"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"
)

//go:embed templates/*.html templates/style.css
var templateFiles embed.FS

// console serves the HTML console, which works without scripts.
type console struct {
	control   ControlPlane
	auth      Auth
	log       *log.Logger
	sessions  *sessionCookies
	origin    *http.CrossOriginProtection
	templates *template.Template
}

func newConsole(control ControlPlane, auth Auth, logger *log.Logger) *console {
	return &console{
		control: control, auth: auth, log: logger,
		sessions:  &sessionCookies{key: deriveKey(auth.Secret, sessionLabel), secure: auth.SecureCookie, now: time.Now},
		origin:    http.NewCrossOriginProtection(),
		templates: template.Must(template.New("").Funcs(templateFuncs).ParseFS(templateFiles, "templates/*.html")),
	}
}

func (c *console) routes(party iris.Party) {
	party.Get("/style.css", c.style)
	party.Get("/login", c.showLogin)
	party.Post("/login", c.login)
	party.Get("/", c.requireLogin(c.showState))
	party.Post("/logout", c.requireLogin(c.logout))
	for _, f := range documentForms {
		party.Get("/"+f.path, c.requireLogin(c.showForm(f)))
		party.Post("/"+f.path, c.requireLogin(c.submitForm(f)))
	}
	party.Post("/review", c.requireLogin(c.review))
	party.Post("/save", c.requireLogin(c.save))
	party.Get("/history", c.requireLogin(c.showHistory))
	party.Get("/document/{revision:string}", c.requireLogin(c.showDocument))
	party.Get("/drain", c.requireLogin(c.confirmDrain))
	party.Post("/drain", c.requireLogin(c.drain))
	party.Post("/automation", c.requireLogin(c.automation))
}

// request is a request of a logged-in operator. form is set for POST requests.
type request struct {
	iris.Context
	session session
	form    url.Values
}

// requireLogin returns a handler that redirects to the login page if the request
// has no valid session. For a POST it also reads the form and checks its origin and
// token.
func (c *console) requireLogin(handle func(*request)) iris.Handler {
	return func(ctx iris.Context) {
		s, ok := c.sessions.read(ctx.Request())
		if !ok || s.Author == "" {
			ctx.Redirect("/console/login", http.StatusSeeOther)
			return
		}
		r := &request{Context: ctx, session: s}
		if ctx.Method() != http.MethodPost || c.readForm(r) {
			handle(r)
		}
	}
}

// readForm parses the form of a POST and checks its origin and token. If it
// returns false, it has written the response.
func (c *console) readForm(r *request) bool {
	if err := r.Request().ParseForm(); err != nil {
		c.renderMessage(r, http.StatusRequestEntityTooLarge, "The form could not be read", "It is too large or malformed. Nothing was changed.")
		return false
	}
	r.form = r.Request().PostForm
	if c.origin.Check(r.Request()) != nil || !c.sessions.validToken(r.session, r.Path(), r.form.Get("token")) {
		c.log.Warn().Str("from", r.Request().RemoteAddr).Str("path", r.Path()).Msg("operator: form refused: wrong origin or token")
		c.renderMessage(r, http.StatusForbidden, "The form is no longer valid", "Open the page again and repeat the change. Nothing was changed.")
		return false
	}
	return true
}

// view is the data of a page's template.
type view struct {
	Title   string
	Active  string // path of the current form in the navigation, or state or history
	Author  string
	Refresh int // seconds; 0 for none
	Data    any
	token   func(form string) string
}

// Token returns the token of the form that is submitted to path.
func (v view) Token(path string) string { return v.token(path) }

// Forms returns the document's forms for the navigation.
func (v view) Forms() []documentForm { return documentForms }

func (c *console) render(ctx iris.Context, s session, status int, name string, v view) {
	v.Author = s.Author
	v.token = func(form string) string { return c.sessions.formToken(s, form) }
	var out bytes.Buffer
	if err := c.templates.ExecuteTemplate(&out, name, v); err != nil {
		c.log.Error().Err(err).Str("template", name).Msg("operator: page could not be rendered")
		ctx.StatusCode(http.StatusInternalServerError)
		ctx.ContentType("text/plain")
		_, _ = ctx.WriteString("This page could not be rendered; the log of this process has the details.\n")
		ctx.StopExecution()
		return
	}
	ctx.StatusCode(status)
	ctx.ContentType("text/html; charset=utf-8")
	_, _ = ctx.Write(out.Bytes())
	ctx.StopExecution()
}

// messageView is the data of a page that shows only a message.
type messageView struct{ Text string }

func (c *console) renderMessage(r *request, status int, title, text string) {
	c.render(r.Context, r.session, status, "message", view{Title: title, Data: messageView{text}})
}

// fail renders an error. Internal errors are logged.
func (c *console) fail(r *request, err error) {
	e := asError(err)
	if e.Code == CodeInternal {
		c.log.Error().Err(err).Str("path", r.Path()).Msg("operator: console request failed with an internal error")
	}
	text := e.Text
	if e.Code == CodeNotLeader && e.Leader != "" {
		text += " The leader's console is at " + e.Leader + "."
	}
	if e.RetryIsSafe() {
		text += " Nothing was changed."
	}
	c.renderMessage(r, e.Code.status(), "The request failed", text)
}

func (c *console) style(ctx iris.Context) {
	text, _ := templateFiles.ReadFile("templates/style.css")
	ctx.ContentType("text/css; charset=utf-8")
	_, _ = ctx.Write(text)
}
