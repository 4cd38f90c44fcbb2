package keys

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/ports"
)

// issuedPrefix starts every issued key. A key that starts so and does not
// check is refused; it is never read as an opaque key.
const issuedPrefix = "cp1."

// Sizes in bytes of the parts of an issued key before it is put into base64.
const (
	fixedSize = 24
	sealSize  = 16
	maxHost   = 64
)

var encoding = base64.RawURLEncoding.Strict()

// ErrSeal says that an issued key was not made with any of the cluster keys
// for this workspace, service and caller.
var ErrSeal = errors.New("idempotency key does not check")

// Binding is what an issued key is good for.
type Binding struct {
	Workspace string
	Service   string
	Caller    string
}

// ID names an issued key over all hosts.
type ID struct {
	Issuer      ports.HostID
	Incarnation uint64
	// Serial counts the keys of one incarnation.
	Serial uint64
	// Time is when the key was made, by the issuer's clock, in milliseconds.
	Time time.Time
}

// Sealer makes and checks issued keys.
type Sealer struct {
	secrets [][]byte
}

// NewSealer returns a sealer that seals with the first secret and accepts all
// of them, so that a secret can be replaced without refusing keys in use.
func NewSealer(secrets ...[]byte) *Sealer {
	return &Sealer{secrets: secrets}
}

// Enabled reports whether there is a secret to seal with.
func (s *Sealer) Enabled() bool { return len(s.secrets) > 0 }

// Seal returns the text of an issued key, or "" if there is no secret or the
// issuer's name is too long.
func (s *Sealer) Seal(b Binding, id ID) string {
	if !s.Enabled() || len(id.Issuer) > maxHost {
		return ""
	}
	raw := make([]byte, fixedSize, fixedSize+len(id.Issuer)+sealSize)
	binary.BigEndian.PutUint64(raw[0:], uint64(id.Time.UnixMilli()))
	binary.BigEndian.PutUint64(raw[8:], id.Incarnation)
	binary.BigEndian.PutUint64(raw[16:], id.Serial)
	raw = append(raw, id.Issuer...)
	raw = append(raw, seal(s.secrets[0], b, raw)...)
	return issuedPrefix + encoding.EncodeToString(raw)
}

// Open checks an issued key against what it is used for. The error is
// ErrMalformed or ErrSeal.
func (s *Sealer) Open(b Binding, value string) (ID, error) {
	text, ok := strings.CutPrefix(value, issuedPrefix)
	if !ok {
		return ID{}, errors.Wrap(ErrMalformed, "not an issued key")
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return ID{}, errors.Mark(err, ErrMalformed)
	}
	end := len(raw) - sealSize
	if end <= fixedSize || end > fixedSize+maxHost {
		return ID{}, errors.Wrapf(ErrMalformed, "%d bytes", len(raw))
	}
	if !s.checks(b, raw[:end], raw[end:]) {
		return ID{}, ErrSeal
	}
	return ID{
		Issuer:      ports.HostID(raw[fixedSize:end]),
		Incarnation: binary.BigEndian.Uint64(raw[8:]),
		Serial:      binary.BigEndian.Uint64(raw[16:]),
		Time:        time.UnixMilli(int64(binary.BigEndian.Uint64(raw[0:]))),
	}, nil
}

func (s *Sealer) checks(b Binding, body, got []byte) bool {
	for _, secret := range s.secrets {
		if hmac.Equal(seal(secret, b, body), got) {
			return true
		}
	}
	return false
}

// seal authenticates body and binding. Each part is preceded by its length, so
// that no two bindings give the same input.
func seal(secret []byte, b Binding, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range []string{b.Workspace, b.Service, b.Caller} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write([]byte(part))
	}
	mac.Write(body)
	return mac.Sum(nil)[:sealSize]
}
