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

// console serves HTML forms that work without scripts.
type console struct {
	control   ControlPlane
	auth      Auth
	log       *log.Logger
	sessions  *sessions
	origin    *http.CrossOriginProtection
	templates *template.Template
}

func newConsole(control ControlPlane, auth Auth, logger *log.Logger) *console {
	return &console{
		control: control, auth: auth, log: logger,
		sessions:  &sessions{key: derive(auth.Secret, sessionLabel), secure: auth.SecureCookie, now: time.Now},
		origin:    http.NewCrossOriginProtection(),
		templates: template.Must(template.New("").Funcs(templateFuncs).ParseFS(templateFiles, "templates/*.html")),
	}
}

func (c *console) routes(party iris.Party) {
	party.Get("/style.css", c.style)
	party.Get("/login", c.showLogin)
	party.Post("/login", c.login)
	party.Get("/", c.page(c.showState))
	party.Post("/logout", c.page(c.logout))
	for _, f := range documentForms {
		party.Get("/"+f.path, c.page(c.showForm(f)))
		party.Post("/"+f.path, c.page(c.submitForm(f)))
	}
	party.Post("/review", c.page(c.review))
	party.Post("/save", c.page(c.save))
	party.Get("/history", c.page(c.showHistory))
	party.Get("/document/{revision:string}", c.page(c.showDocument))
	party.Get("/drain", c.page(c.askDrain))
	party.Post("/drain", c.page(c.drain))
	party.Post("/automation", c.page(c.automation))
}

// request is one request of a logged-in operator.
type request struct {
	iris.Context
	session session
	form    url.Values
}

// page wraps handlers of logged-in operators. For a POST it also checks the
// origin and the form's token, and reads the form.
func (c *console) page(handle func(*request)) iris.Handler {
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

// readForm reports whether the form may be used; otherwise it has answered.
func (c *console) readForm(r *request) bool {
	if err := r.Request().ParseForm(); err != nil {
		c.message(r, http.StatusRequestEntityTooLarge, "The form could not be read", "It is too large or broken. Nothing was changed.")
		return false
	}
	r.form = r.Request().PostForm
	if c.origin.Check(r.Request()) != nil || !c.sessions.validToken(r.session, r.Path(), r.form.Get("token")) {
		c.log.Warn().Str("from", r.Request().RemoteAddr).Str("path", r.Path()).Msg("operator: form without a valid token")
		c.message(r, http.StatusForbidden, "The form is no longer valid", "Open the page again and repeat the change. Nothing was changed.")
		return false
	}
	return true
}

// view is the data of a page.
type view struct {
	Title   string
	Active  string
	Author  string
	Refresh int // seconds; 0 for none
	Data    any
	token   func(form string) string
}

// Token returns the token of the form that is sent to path.
func (v view) Token(path string) string { return v.token(path) }

// Forms lists the document's forms for the navigation.
func (v view) Forms() []documentForm { return documentForms }

func (c *console) render(ctx iris.Context, s session, status int, name string, v view) {
	v.Author = s.Author
	v.token = func(form string) string { return c.sessions.formToken(s, form) }
	var out bytes.Buffer
	if err := c.templates.ExecuteTemplate(&out, name, v); err != nil {
		c.log.Error().Err(err).Str("template", name).Msg("operator: page failed")
		ctx.StatusCode(http.StatusInternalServerError)
		ctx.ContentType("text/plain")
		_, _ = ctx.WriteString("This page could not be made; the log of this process has the details.\n")
		ctx.StopExecution()
		return
	}
	ctx.StatusCode(status)
	ctx.ContentType("text/html; charset=utf-8")
	_, _ = ctx.Write(out.Bytes())
	ctx.StopExecution()
}

// notice is the data of a page with a message only.
type notice struct{ Text string }

func (c *console) message(r *request, status int, title, text string) {
	c.render(r.Context, r.session, status, "message", view{Title: title, Data: notice{text}})
}

// fail shows an error of the control group.
func (c *console) fail(r *request, err error) {
	e := asError(err)
	if e.Code == CodeInternal {
		c.log.Error().Err(err).Str("path", r.Path()).Msg("operator: page failed")
	}
	text := e.Text
	if e.Code == CodeNotLeader && e.Leader != "" {
		text += " The leader's console is at " + e.Leader + "."
	}
	if e.RetryIsSafe() {
		text += " Nothing was changed."
	}
	c.message(r, e.Code.status(), "The control group did not do this", text)
}

func (c *console) style(ctx iris.Context) {
	text, _ := templateFiles.ReadFile("templates/style.css")
	ctx.ContentType("text/css; charset=utf-8")
	_, _ = ctx.Write(text)
}
