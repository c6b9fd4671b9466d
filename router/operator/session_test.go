package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleyquay.example/router/settings"
)

func withCookie(c *http.Cookie) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/console/", nil)
	r.AddCookie(c)
	return r
}

// Guards against sessions that are altered, signed with the secret of another
// cluster or expired, and against a form token of another session.
func TestSessionsAreSignedAndExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	own := &sessionCookies{key: deriveKey(settings.NewSecret("a secret of the test cluster"), sessionLabel), now: clock}
	other := &sessionCookies{key: deriveKey(settings.NewSecret("another secret of a cluster"), sessionLabel), now: clock}
	v := own.newSession("ana")
	read, ok := own.read(withCookie(own.cookie(v)))
	is.True(ok)
	is.Equal(read, v)
	_, ok = own.read(withCookie(other.cookie(v)))
	is.True(!ok) // another secret
	altered, loggedIn := own.cookie(own.newSession("")), own.cookie(v)
	altered.Value = loggedIn.Value[:len(loggedIn.Value)-64] + altered.Value[len(altered.Value)-64:]
	_, ok = own.read(withCookie(altered))
	is.True(!ok) // the payload of one cookie with the signature of another
	now = now.Add(sessionLifetime)
	_, ok = own.read(withCookie(own.cookie(v)))
	is.True(!ok) // expired
	is.True(own.newSession("ana").Nonce != v.Nonce)
	is.True(!own.validToken(own.newSession("ana"), "/console/save", own.formToken(v, "/console/save")))
}

// Guards against API tokens that are accepted as session keys, or the reverse.
func TestDerivedKeysDiffer(t *testing.T) {
	is := is.New(t)
	secret := settings.NewSecret("a secret of the test cluster")
	is.True(string(deriveKey(secret, tokenLabel)) != string(deriveKey(secret, sessionLabel)))
	is.Equal(len(Token(secret)), 64)
}
