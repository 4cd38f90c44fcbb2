// Package keys reads the idempotency keys that callers send, and makes and
// checks the keys that hosts issue.
package keys

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// MaxLength is the longest key in bytes that is accepted.
const MaxLength = 255

// Kind says how long a key has to be remembered and by whom.
type Kind uint8

const (
	// Opaque keys tell nothing of themselves.
	Opaque Kind = iota + 1
	// Timed keys carry the time they were made: a UUID of version 7 or a ULID.
	Timed
	// Issued keys were made by a host of this system.
	Issued
)

// Times outside this range are not times: a string that merely looks like a
// ULID is an opaque key. The range is fixed, so that the same key is read the
// same way on every host and at any time.
var (
	firstTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	lastTime  = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// ErrMalformed says that no host can have accepted the key.
var ErrMalformed = errors.New("malformed idempotency key")

// Key is a key as far as it can be read without any secret.
type Key struct {
	Kind Kind
	// Time is when a Timed key was made; zero for other kinds.
	Time time.Time
}

// Parse reads a key. The error is ErrMalformed.
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
	if !ok || t.Before(firstTime) || t.After(lastTime) {
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

// Layout of a UUID in its text form.
const (
	uuidLength     = 36
	uuidVersionPos = 14
	uuidVariantPos = 19
)

// uuidTime returns the time in a UUID of version 7.
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

// ulidTime returns the time in a ULID.
func ulidTime(s string) (time.Time, bool) {
	id, err := ulid.ParseStrict(s)
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(id.Time()).UTC(), true
}
