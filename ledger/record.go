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

// state is the state of a claim.
type state uint8

const (
	// stateClaimed: the holder may send the request, or has sent it and awaits the
	// response.
	stateClaimed state = iota + 1
	// stateGivenUp: the holder has sent nothing and never will.
	stateGivenUp
	// stateDone: the complete response was received.
	stateDone
	// stateUndecided: the request may have run, and no response will be recorded.
	stateUndecided
)

// claimID is unique across all hosts and incarnations.
type claimID struct {
	Host        ports.HostID `msgpack:"h"`
	Incarnation uint64       `msgpack:"i"`
	Serial      uint64       `msgpack:"n"`
}

func (id claimID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Host, id.Incarnation, id.Serial)
}

// record is the state of a key: the value of its row, or the issuer's reply.
type record struct {
	State state   `msgpack:"s"`
	Claim claimID `msgpack:"c"`
	// Caller is a digest of the caller. It is empty for issued keys, whose
	// signature binds them to the caller.
	Caller      []byte `msgpack:"w,omitempty"`
	Digest      Digest `msgpack:"d"`
	DigestKnown bool   `msgpack:"k"`
	// Stamp is when the claim was created or last changed, in Unix nanoseconds by
	// the holder's clock.
	Stamp int64 `msgpack:"t"`
	// Kept is true if the response is stored in this record.
	Kept   bool        `msgpack:"a,omitempty"`
	Status int         `msgpack:"as,omitempty"`
	Header http.Header `msgpack:"ah,omitempty"`
	Body   []byte      `msgpack:"ab,omitempty"`
}

func (r record) encode() []byte {
	b, err := msgpack.Marshal(r)
	if err != nil {
		// Encoding plain data fields can not fail.
		panic(errors.Wrap(err, "encode claim record"))
	}
	return b
}

func decodeRecord(b []byte) (record, error) {
	var r record
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return record{}, errors.Wrap(err, "decode claim record")
	}
	return r, nil
}

func (r record) response() *Response {
	return &Response{Status: r.Status, Header: r.Header, Body: r.Body}
}

func (r record) stamped() time.Time { return time.Unix(0, r.Stamp) }

// Prefixes of row names. Rows of keys that carry their creation time are sorted by
// the hour, so that the sweep finds expired ones without reading the others.
const (
	timedPrefix  = "claims/t/"
	opaquePrefix = "claims/o/"
	hourLayout   = "2006010215"
)

// rowName returns the row name of a key. The caller is not part of it: a caller
// that renews its credentials between two requests must not get a second claim.
func rowName(k Key, parsed keys.Key) string {
	name := base64.RawURLEncoding.EncodeToString(hashParts(k.Workspace, k.Service, k.Value))
	if parsed.Kind == keys.Timed {
		return timedPrefix + parsed.Time.Format(hourLayout) + "/" + name
	}
	return opaquePrefix + name
}

// issuedName returns the name of an issued key among the active claims of a host.
func issuedName(id keys.ID) string {
	return fmt.Sprintf("issued/%s/%d/%d", id.Issuer, id.Incarnation, id.Serial)
}

// hashParts hashes parts with a length prefix each, so that different lists of
// parts never produce the same input.
func hashParts(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// callerDigestSize is the length in bytes of a caller digest.
const callerDigestSize = 16

func callerDigest(caller string) []byte { return hashParts(caller)[:callerDigestSize] }
