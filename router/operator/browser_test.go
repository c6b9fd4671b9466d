package operator_test

import (
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
)

// browser submits forms like a browser without scripts.
type browser struct {
	t      *testing.T
	server *httptest.Server
	client *http.Client
	status int
	page   string
}

func newBrowser(t *testing.T, server *httptest.Server) *browser {
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	return &browser{t: t, server: server, client: &http.Client{Jar: jar}}
}

func (b *browser) read(response *http.Response, err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	b.status, b.page = response.StatusCode, string(text)
	if strings.Contains(b.page, "<script") || strings.Contains(b.page, "ZgotmplZ") {
		b.t.Errorf("page contains a script or a value that html/template refused")
	}
}

func (b *browser) get(path string) { b.t.Helper(); b.read(b.client.Get(b.server.URL + path)) }

var (
	inputTag = regexp.MustCompile(`<input ([^>]*)>`)
	attrName = regexp.MustCompile(`name="([^"]*)"`)
	attrVal  = regexp.MustCompile(`value="([^"]*)"`)
	textArea = regexp.MustCompile(`(?s)<textarea name="([^"]*)"[^>]*>\n(.*?)</textarea>`)
)

// fields returns the values that the page's form with this action would submit.
func (b *browser) fields(action string) url.Values {
	b.t.Helper()
	_, rest, found := strings.Cut(b.page, `action="`+action+`"`)
	if !found {
		b.t.Fatalf("page has no form for %s:\n%s", action, b.page)
	}
	form, _, _ := strings.Cut(rest, "</form>")
	values := url.Values{}
	for _, tag := range inputTag.FindAllStringSubmatch(form, -1) {
		checkbox := strings.Contains(tag[1], `type="checkbox"`)
		if checkbox && !strings.HasSuffix(tag[1], " checked") {
			continue
		}
		value := "on"
		if v := attrVal.FindStringSubmatch(tag[1]); v != nil {
			value = html.UnescapeString(v[1])
		} else if !checkbox {
			value = ""
		}
		values.Add(attrName.FindStringSubmatch(tag[1])[1], value)
	}
	for _, area := range textArea.FindAllStringSubmatch(form, -1) {
		values.Add(area[1], strings.ReplaceAll(html.UnescapeString(area[2]), "\n", "\r\n"))
	}
	return values
}

func (b *browser) post(path string, values url.Values) {
	b.t.Helper()
	b.read(b.client.PostForm(b.server.URL+path, values))
}

func (b *browser) login() {
	b.t.Helper()
	b.get("/console/login")
	values := b.fields("/console/login")
	values.Set("name", "Ana")
	values.Set("secret", string(secret.Bytes()))
	b.post("/console/login", values)
	if b.status != http.StatusOK || !strings.Contains(b.page, "<h1>State</h1>") {
		b.t.Fatalf("login failed: %d %s", b.status, b.page)
	}
}

// expect fails the test for each text that the page does not contain.
func (b *browser) expect(texts ...string) {
	b.t.Helper()
	for _, text := range texts {
		if !strings.Contains(b.page, text) {
			b.t.Errorf("page does not contain %q:\n%s", text, b.page)
		}
	}
}
