package ledger

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/ports"
)

// state is how far a claim has come.
type state uint8

const (
	// stateClaimed: the holder may send, or has sent and waits.
	stateClaimed state = iota + 1
	// stateGivenUp: the holder sent nothing and never will.
	stateGivenUp
	// stateDone: the whole answer came.
	stateDone
	// stateUndecided: the request may have run; no answer will come.
	stateUndecided
)

// claimID is unique over all hosts and times.
type claimID struct {
	Host        ports.HostID `msgpack:"h"`
	Incarnation uint64       `msgpack:"i"`
	Serial      uint64       `msgpack:"n"`
}

func (id claimID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Host, id.Incarnation, id.Serial)
}

// record is what is known of a key: the value of its row, or the issuer's word.
type record struct {
	State state   `msgpack:"s"`
	Claim claimID `msgpack:"c"`
	// Caller is a digest of who asked; empty for issued keys, which are bound to
	// their caller by their seal.
	Caller      []byte `msgpack:"w,omitempty"`
	Digest      Digest `msgpack:"d"`
	DigestKnown bool   `msgpack:"k"`
	// Stamp is when the claim was made or last changed, by the holder's clock,
	// in nanoseconds of Unix time.
	Stamp int64 `msgpack:"t"`
	// Kept is false if the answer was not stored.
	Kept   bool        `msgpack:"a,omitempty"`
	Status int         `msgpack:"as,omitempty"`
	Header http.Header `msgpack:"ah,omitempty"`
	Body   []byte      `msgpack:"ab,omitempty"`
}

func (r record) encode() []byte {
	b, err := msgpack.Marshal(r)
	if err != nil {
		// All fields are plain data, which msgpack can always encode.
		panic(errors.Wrap(err, "encode claim"))
	}
	return b
}

func decodeRecord(b []byte) (record, error) {
	var r record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return record{}, errors.Wrap(err, "decode claim")
	}
	return r, nil
}

func (r record) answer() *Response {
	return &Response{Status: r.Status, Header: r.Header, Body: r.Body}
}

func (r record) stamped() time.Time { return time.Unix(0, r.Stamp) }

// Prefixes of row names. Rows of keys that carry their time sort by the hour,
// so that the sweep finds expired ones without reading the others.
const (
	timedPrefix  = "claims/t/"
	opaquePrefix = "claims/o/"
	hourLayout   = "2006010215"
)

// rowName names the row of a key. The caller is not part of it: a caller that
// renews its credentials between two sends must not get a second claim.
func rowName(k Key, parsed keys.Key) string {
	name := base64.RawURLEncoding.EncodeToString(sum(k.Workspace, k.Service, k.Value))
	if parsed.Kind == keys.Timed {
		return timedPrefix + parsed.Time.Format(hourLayout) + "/" + name
	}
	return opaquePrefix + name
}

// issuedName names an issued key among the claims of a host.
func issuedName(id keys.ID) string {
	return fmt.Sprintf("issued/%s/%d/%d", id.Issuer, id.Incarnation, id.Serial)
}

// sum digests parts so that no two lists of parts give the same input.
func sum(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// callerSize is the length in bytes of a caller's digest.
const callerSize = 16

func callerDigest(caller string) []byte { return sum(caller)[:callerSize] }
