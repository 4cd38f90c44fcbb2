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
		// Has the form of a ULID of the year 3084, so it is an opaque key.
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
	s := NewSigner([]byte("new"), []byte("old"))
	bind := Binding{Workspace: "auction", Service: "bids", Caller: "ana"}
	value := s.Sign(bind, testID())
	got, err := s.Verify(bind, value)
	assert.NilError(t, err)
	assert.Equal(t, got, testID())
	for _, other := range []Binding{
		{Workspace: "auction", Service: "bids", Caller: "eva"},
		{Workspace: "auction", Service: "bidsana", Caller: ""},
		{Workspace: "auctionbids", Service: "", Caller: "ana"},
	} {
		_, err = s.Verify(other, value)
		assert.Check(t, errors.Is(err, ErrInvalidSignature))
	}
	before := NewSigner([]byte("old")).Sign(bind, testID())
	_, err = s.Verify(bind, before)
	assert.NilError(t, err)
	_, err = NewSigner([]byte("other")).Verify(bind, value)
	assert.Check(t, errors.Is(err, ErrInvalidSignature))
}

// FuzzKeys checks that any input either parses or fails with one of the documented
// errors, that only signed keys verify, and that an issued key has exactly one
// encoding: two encodings would be redeemed as one key, but a target that compares
// them would treat them as two.
func FuzzKeys(f *testing.F) {
	s := NewSigner([]byte("secret"))
	bind := Binding{Workspace: "w", Service: "s", Caller: "c"}
	signed := s.Sign(bind, testID())
	for _, seed := range []string{
		"", "order 17", "019ac927-7e40-7000-8000-000000000001", "01KB4JEZJ0ABCDEFGHJKMNPQRS",
		"cp1.", "cp1.AAAA", signed, signed + "A", signed[:len(signed)-1], strings.ToLower(signed),
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
		id, err := s.Verify(bind, value)
		if err != nil {
			assert.Check(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrInvalidSignature))
			return
		}
		assert.Equal(t, s.Sign(bind, id), value)
	})
}
