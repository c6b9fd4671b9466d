package operator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

const (
	cookieName = "bq_session"
	// sessionLifetime is a working day. The server cannot revoke a single session
	// earlier, because processes share no session state; a change of the cluster's
	// secret ends all.
	sessionLifetime = 8 * time.Hour
)

// session is the content of the console's signed cookie. Before the login it has no
// author and only binds the token of the login form to the browser.
type session struct {
	Author  string `json:"a"`
	Expires int64  `json:"e"` // seconds since 1970
	Nonce   string `json:"n"`
}

// sessionCookies signs and verifies session cookies and form tokens.
type sessionCookies struct {
	key    []byte
	secure bool
	now    func() time.Time
}

func (s *sessionCookies) newSession(author string) session {
	return session{Author: author, Expires: s.now().Add(sessionLifetime).Unix(), Nonce: randomID()}
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return hex.EncodeToString(b[:])
}

// mac returns the HMAC of parts in hexadecimal.
func (s *sessionCookies) mac(parts ...string) string {
	mac := hmac.New(sha256.New, s.key)
	for _, part := range parts {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

func (s *sessionCookies) cookie(v session) *http.Cookie {
	text, _ := json.Marshal(v) // strings and numbers only
	payload := base64.RawURLEncoding.EncodeToString(text)
	return &http.Cookie{
		Name: cookieName, Value: payload + "." + s.mac("cookie", payload), Path: "/console",
		MaxAge: int(sessionLifetime / time.Second), HttpOnly: true, Secure: s.secure, SameSite: http.SameSiteStrictMode,
	}
}

// expiredCookie returns a cookie that makes the browser delete the session.
func (s *sessionCookies) expiredCookie() *http.Cookie {
	c := s.cookie(session{})
	c.Value, c.MaxAge = "", -1
	return c
}

// read returns the request's session. It reports false if there is none, its
// signature is wrong or it has expired.
func (s *sessionCookies) read(r *http.Request) (session, bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, false
	}
	payload, mac, _ := strings.Cut(cookie.Value, ".")
	if !hmac.Equal([]byte(mac), []byte(s.mac("cookie", payload))) {
		return session{}, false
	}
	var v session
	text, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil || json.Unmarshal(text, &v) != nil || v.Expires <= s.now().Unix() {
		return session{}, false
	}
	return v, true
}

// formToken returns the token of the form that is submitted to the path form. It is
// valid only in this session.
func (s *sessionCookies) formToken(v session, form string) string {
	return s.mac("form", v.Nonce, form)
}

func (s *sessionCookies) validToken(v session, form, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(v, form)))
}
