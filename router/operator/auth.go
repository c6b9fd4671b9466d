package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"bramleyquay.example/router/settings"
)

// Labels of the keys that are derived from the cluster's secret, one for each use.
// A change of a label invalidates all tokens or sessions of its kind.
const (
	tokenLabel   = "bramleyquay operator api token v1"
	sessionLabel = "bramleyquay console session v1"
)

// Auth decides who may use the operator listener.
type Auth struct {
	// Secret is the cluster's secret. Without one no token and no login is
	// accepted.
	Secret settings.Secret
	// Certificates also accepts API clients with a verified TLS certificate and no
	// token. The listener must verify certificates against its own CA.
	Certificates bool
	// SecureCookie restricts the session cookie to TLS connections. Set it if the
	// listener uses TLS.
	SecureCookie bool
}

// Token returns the API token for a secret, in hexadecimal. The secret cannot be
// computed from the token.
func Token(secret settings.Secret) string {
	return hex.EncodeToString(deriveKey(secret, tokenLabel))
}

func deriveKey(secret settings.Secret, label string) []byte {
	mac := hmac.New(sha256.New, secret.Bytes())
	mac.Write([]byte(label))
	return mac.Sum(nil)
}

// allows reports whether an API request has a valid token or an accepted
// certificate. If no secret is set, no token is valid.
func (a Auth) allows(r *http.Request) bool {
	if a.Certificates && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return bearer && len(a.Secret.Bytes()) > 0 && hmac.Equal([]byte(token), []byte(Token(a.Secret)))
}

// matchesSecret reports whether text is the secret. The comparison takes constant
// time, independent of the secret's length. It is false if no secret is set.
func (a Auth) matchesSecret(text string) bool {
	given := settings.NewSecret(text)
	return len(a.Secret.Bytes()) > 0 && hmac.Equal(deriveKey(given, sessionLabel), deriveKey(a.Secret, sessionLabel))
}
