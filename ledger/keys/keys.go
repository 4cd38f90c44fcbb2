// Package keys parses the idempotency keys that callers send, and creates and
// verifies the keys that hosts issue. An issued key contains its issuer, a serial
// number and its creation time, and is authenticated by an HMAC that binds it to a
// workspace, a service and a caller.
package keys

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// MaxLength is the maximum length of a key in bytes.
const MaxLength = 255

// Kind determines how long a key has to be remembered and by whom.
type Kind uint8

const (
	// Opaque keys carry no information.
	Opaque Kind = iota + 1
	// Timed keys carry their creation time: UUIDs of version 7 and ULIDs.
	Timed
	// Issued keys were created by a host of this cluster.
	Issued
)

// A time outside this range is not treated as a time: a string that merely looks
// like a ULID is an opaque key. The range is fixed, so that a key is parsed the
// same way on every host and at any time.
var (
	minTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	maxTime = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// ErrMalformed means that no host can have accepted the key.
var ErrMalformed = errors.New("malformed idempotency key")

// Key is the part of a key that can be parsed without a secret.
type Key struct {
	Kind Kind
	// Time is the creation time of a Timed key; zero for other kinds.
	Time time.Time
}

// Parse parses a key. The error is ErrMalformed.
func Parse(value string) (Key, error) {
	if value == "" || len(value) > MaxLength {
		return Key{}, errors.Wrapf(ErrMalformed, "length %d", len(value))
	}
	if !printable(value) {
		return Key{}, errors.Wrap(ErrMalformed, "byte outside printable ASCII")
	}
	if strings.HasPrefix(value, issuedPrefix) {
		return Key{Kind: Issued}, nil
	}
	t, ok := uuidTime(value)
	if !ok {
		t, ok = ulidTime(value)
	}
	if !ok || t.Before(minTime) || t.After(maxTime) {
		return Key{Kind: Opaque}, nil
	}
	return Key{Kind: Timed, Time: t}, nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// Layout of the text form of a UUID.
const (
	uuidLength     = 36
	uuidVersionPos = 14
	uuidVariantPos = 19
)

// uuidTime returns the timestamp of a UUID of version 7.
func uuidTime(s string) (time.Time, bool) {
	if len(s) != uuidLength || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return time.Time{}, false
	}
	if s[uuidVersionPos] != '7' || !strings.ContainsRune("89abAB", rune(s[uuidVariantPos])) {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(s, "-", ""))
	if err != nil {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}

// ulidTime returns the timestamp of a ULID.
func ulidTime(s string) (time.Time, bool) {
	id, err := ulid.ParseStrict(s)
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(id.Time()).UTC(), true
}
