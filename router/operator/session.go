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
	// sessionLifetime is a working day. A session cannot be ended earlier by
	// the server, because processes share no session state.
	sessionLifetime = 8 * time.Hour
)

// session is what the console's signed cookie holds. Before the login it has
// no author; it then only binds the login form's token to the browser.
type session struct {
	Author  string `json:"a"`
	Expires int64  `json:"e"` // seconds since 1970
	Nonce   string `json:"n"`
}

// sessions signs and checks cookies.
type sessions struct {
	key    []byte
	secure bool
	now    func() time.Time
}

func (s *sessions) start(author string) session {
	return session{Author: author, Expires: s.now().Add(sessionLifetime).Unix(), Nonce: randomID()}
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return hex.EncodeToString(b[:])
}

func (s *sessions) mac(parts ...string) string {
	mac := hmac.New(sha256.New, s.key)
	for _, part := range parts {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

func (s *sessions) cookie(v session) *http.Cookie {
	text, _ := json.Marshal(v) // strings and numbers only
	payload := base64.RawURLEncoding.EncodeToString(text)
	return &http.Cookie{
		Name: cookieName, Value: payload + "." + s.mac("cookie", payload), Path: "/console",
		MaxAge: int(sessionLifetime / time.Second), HttpOnly: true, Secure: s.secure, SameSite: http.SameSiteStrictMode,
	}
}

func (s *sessions) ended() *http.Cookie {
	c := s.cookie(session{})
	c.Value, c.MaxAge = "", -1
	return c
}

// read returns the request's session if its signature and time are valid.
func (s *sessions) read(r *http.Request) (session, bool) {
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

// formToken returns the token of one form in one session.
func (s *sessions) formToken(v session, form string) string {
	return s.mac("form", v.Nonce, form)
}

func (s *sessions) validToken(v session, form, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(v, form)))
}
