package keys

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestParseTellsKindAndTime(t *testing.T) {
	made := time.Date(2025, 11, 28, 6, 30, 0, 0, time.UTC)
	for _, c := range []struct {
		value string
		kind  Kind
		time  time.Time
	}{
		{"019ac927-7e40-7000-8000-000000000001", Timed, made},
		{"019AC927-7E40-7000-8000-000000000001", Timed, made},
		{"019ac927-7e40-4000-8000-000000000001", Opaque, time.Time{}},
		{"01KB4JEZJ0ABCDEFGHJKMNPQRS", Timed, made},
		// Looks like a ULID of the year 3084: an opaque key.
		{"10KB4W0DJ0ABCDEFGHJKMNPQRS", Opaque, time.Time{}},
		{"order 17", Opaque, time.Time{}},
		{"cp1.AAAA", Issued, time.Time{}},
	} {
		got, err := Parse(c.value)
		assert.NilError(t, err)
		assert.Equal(t, got, Key{Kind: c.kind, Time: c.time}, c.value)
	}
	for _, bad := range []string{"", "a\nb", "späth", strings.Repeat("x", MaxLength+1)} {
		_, err := Parse(bad)
		assert.Check(t, errors.Is(err, ErrMalformed), "%q", bad)
	}
}

func testID() ID {
	return ID{Issuer: "host-3", Incarnation: 7, Serial: 42, Time: time.UnixMilli(1764311400123)}
}

func TestSealBindsKeyToItsUse(t *testing.T) {
	s := NewSealer([]byte("new"), []byte("old"))
	bind := Binding{Workspace: "auction", Service: "bids", Caller: "ana"}
	value := s.Seal(bind, testID())
	got, err := s.Open(bind, value)
	assert.NilError(t, err)
	assert.Equal(t, got, testID())
	for _, other := range []Binding{
		{Workspace: "auction", Service: "bids", Caller: "eva"},
		{Workspace: "auction", Service: "bidsana", Caller: ""},
		{Workspace: "auctionbids", Service: "", Caller: "ana"},
	} {
		_, err = s.Open(other, value)
		assert.Check(t, errors.Is(err, ErrSeal))
	}
	before := NewSealer([]byte("old")).Seal(bind, testID())
	_, err = s.Open(bind, before)
	assert.NilError(t, err)
	_, err = NewSealer([]byte("other")).Open(bind, value)
	assert.Check(t, errors.Is(err, ErrSeal))
}

// FuzzKeys reads keys as a caller may send them. Whatever comes, reading does
// not fail in other ways than its own, no key but a sealed one opens, and an
// issued key has one spelling only: two would be redeemed as one, but a target
// that compares them would take them for two.
func FuzzKeys(f *testing.F) {
	s := NewSealer([]byte("secret"))
	bind := Binding{Workspace: "w", Service: "s", Caller: "c"}
	sealed := s.Seal(bind, testID())
	for _, seed := range []string{
		"", "order 17", "019ac927-7e40-7000-8000-000000000001", "01KB4JEZJ0ABCDEFGHJKMNPQRS",
		"cp1.", "cp1.AAAA", sealed, sealed + "A", sealed[:len(sealed)-1], strings.ToLower(sealed),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		k, err := Parse(value)
		if err != nil {
			assert.Check(t, errors.Is(err, ErrMalformed))
			return
		}
		assert.Equal(t, k.Kind == Timed, !k.Time.IsZero())
		again, err := Parse(value)
		assert.Check(t, err == nil && again == k)
		id, err := s.Open(bind, value)
		if err != nil {
			assert.Check(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrSeal))
			return
		}
		assert.Equal(t, s.Seal(bind, id), value)
	})
}
