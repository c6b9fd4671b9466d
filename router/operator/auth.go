package operator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"bramleyquay.example/router/settings"
)

// Labels separate the keys that are derived from the one shared secret. A
// change of a label makes all tokens of that kind invalid.
const (
	tokenLabel   = "bramleyquay operator api token v1"
	sessionLabel = "bramleyquay console session v1"
)

// Auth says who may use the operator listener.
type Auth struct {
	Secret settings.Secret
	// Certificates accepts API clients with a verified TLS certificate instead
	// of a token. The listener must verify against its own CA.
	Certificates bool
	// SecureCookie marks the session cookie for TLS only. Set it if the
	// listener uses TLS.
	SecureCookie bool
}

// Token returns the API token of a secret, in hexadecimal. The secret cannot
// be computed from it.
func Token(secret settings.Secret) string {
	return hex.EncodeToString(derive(secret, tokenLabel))
}

func derive(secret settings.Secret, label string) []byte {
	mac := hmac.New(sha256.New, secret.Bytes())
	mac.Write([]byte(label))
	return mac.Sum(nil)
}

// allows reports whether an API request proves the secret. Without a secret
// nothing is allowed.
func (a Auth) allows(r *http.Request) bool {
	if a.Certificates && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return bearer && len(a.Secret.Bytes()) > 0 && hmac.Equal([]byte(token), []byte(Token(a.Secret)))
}

// isSecret compares a login with the secret in constant time, independent of
// its length.
func (a Auth) isSecret(text string) bool {
	given := settings.NewSecret(text)
	return len(a.Secret.Bytes()) > 0 && hmac.Equal(derive(given, sessionLabel), derive(a.Secret, sessionLabel))
}
