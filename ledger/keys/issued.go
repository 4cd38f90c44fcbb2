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

// issuedPrefix is the prefix of every issued key. A key with this prefix and an
// invalid signature is refused; it is never treated as an opaque key.
const issuedPrefix = "cp1."

// Sizes in bytes of the parts of an issued key before base64 encoding.
const (
	fixedSize     = 24
	macSize       = 16
	maxHostLength = 64
)

var encoding = base64.RawURLEncoding.Strict()

// ErrInvalidSignature means that an issued key was not signed with any of the
// cluster keys for this workspace, service and caller.
var ErrInvalidSignature = errors.New("invalid signature of idempotency key")

// Binding is the use to which an issued key is restricted.
type Binding struct {
	Workspace string
	Service   string
	Caller    string
}

// ID identifies an issued key across all hosts.
type ID struct {
	Issuer      ports.HostID
	Incarnation uint64
	// Serial numbers the keys of one incarnation.
	Serial uint64
	// Time is the creation time by the issuer's clock, with millisecond precision.
	Time time.Time
}

// Signer creates and verifies issued keys.
type Signer struct {
	secrets [][]byte
}

// NewSigner returns a signer that signs with the first secret and accepts all of
// them, so that a secret can be rotated without refusing keys in use.
func NewSigner(secrets ...[]byte) *Signer {
	return &Signer{secrets: secrets}
}

// Enabled reports whether there is a secret to sign with.
func (s *Signer) Enabled() bool { return len(s.secrets) > 0 }

// Sign returns the text of an issued key, or "" if there is no secret or the
// issuer's host ID is too long.
func (s *Signer) Sign(b Binding, id ID) string {
	if !s.Enabled() || len(id.Issuer) > maxHostLength {
		return ""
	}
	raw := make([]byte, fixedSize, fixedSize+len(id.Issuer)+macSize)
	binary.BigEndian.PutUint64(raw[0:], uint64(id.Time.UnixMilli()))
	binary.BigEndian.PutUint64(raw[8:], id.Incarnation)
	binary.BigEndian.PutUint64(raw[16:], id.Serial)
	raw = append(raw, id.Issuer...)
	raw = append(raw, computeMAC(s.secrets[0], b, raw)...)
	return issuedPrefix + encoding.EncodeToString(raw)
}

// Verify checks the signature of an issued key for the given use. The error is
// ErrMalformed or ErrInvalidSignature.
func (s *Signer) Verify(b Binding, value string) (ID, error) {
	text, ok := strings.CutPrefix(value, issuedPrefix)
	if !ok {
		return ID{}, errors.Wrap(ErrMalformed, "not an issued key")
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return ID{}, errors.Mark(err, ErrMalformed)
	}
	end := len(raw) - macSize
	if end <= fixedSize || end > fixedSize+maxHostLength {
		return ID{}, errors.Wrapf(ErrMalformed, "issued key decodes to %d bytes", len(raw))
	}
	if !s.validMAC(b, raw[:end], raw[end:]) {
		return ID{}, ErrInvalidSignature
	}
	return ID{
		Issuer:      ports.HostID(raw[fixedSize:end]),
		Incarnation: binary.BigEndian.Uint64(raw[8:]),
		Serial:      binary.BigEndian.Uint64(raw[16:]),
		Time:        time.UnixMilli(int64(binary.BigEndian.Uint64(raw[0:]))),
	}, nil
}

func (s *Signer) validMAC(b Binding, body, got []byte) bool {
	for _, secret := range s.secrets {
		if hmac.Equal(computeMAC(secret, b, body), got) {
			return true
		}
	}
	return false
}

// computeMAC authenticates body and binding. Each part of the binding is preceded
// by its length, so that different bindings never produce the same input.
func computeMAC(secret []byte, b Binding, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range []string{b.Workspace, b.Service, b.Caller} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write([]byte(part))
	}
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}
