package ledger

import (
	"context"
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/keys"
	"github.com/cactusproxy/cactusproxy/peer"
)

// Kinds of messages between ledgers.
const (
	kindRedeem = peer.KindLedger + iota
	kindSettle
	kindPool
)

// issuedID identifies a key to its issuer. The signature has already been verified
// by the requesting host, which knows the caller; hosts trust each other.
type issuedID struct {
	Incarnation uint64 `msgpack:"i"`
	Serial      uint64 `msgpack:"n"`
	// Time is the creation time of the key in Unix milliseconds.
	Time int64 `msgpack:"t"`
}

func newIssuedID(id keys.ID) issuedID {
	return issuedID{Incarnation: id.Incarnation, Serial: id.Serial, Time: id.Time.UnixMilli()}
}

// redeemRequest asks the issuer of a key for its claim.
type redeemRequest struct {
	ID          issuedID `msgpack:"k"`
	Claim       claimID  `msgpack:"c"`
	Digest      Digest   `msgpack:"d"`
	DigestKnown bool     `msgpack:"dk"`
	// Arrived is when the request reached the requesting host, in Unix nanoseconds.
	Arrived int64 `msgpack:"a"`
}

func newRedeemRequest(c *Claim) redeemRequest {
	return redeemRequest{
		ID:          newIssuedID(c.issued),
		Claim:       c.id,
		Digest:      c.key.Digest,
		DigestKnown: c.key.DigestKnown,
		Arrived:     c.key.Arrived.UnixNano(),
	}
}

// key returns the fields of the request's key that judge needs.
func (r redeemRequest) key() Key {
	return Key{Digest: r.Digest, DigestKnown: r.DigestKnown, Arrived: time.Unix(0, r.Arrived)}
}

// redeemStatus is the issuer's decision on a redeemRequest.
type redeemStatus uint8

const (
	// redeemGranted: the requesting claim holds the key.
	redeemGranted redeemStatus = iota + 1
	// redeemTaken: another claim has the key; the reply's record has its state.
	redeemTaken
	// redeemIssuerRestarted: the key was issued by an earlier incarnation.
	redeemIssuerRestarted
	// redeemExpired: the key is older than IssuedWindow.
	redeemExpired
)

type redeemReply struct {
	Status redeemStatus `msgpack:"s"`
	Record record       `msgpack:"r"`
}

// settleRequest reports the end of a claim to the issuer.
type settleRequest struct {
	ID     issuedID `msgpack:"k"`
	Record record   `msgpack:"r"`
}

// settleReply confirms that the issuer has recorded the end of the claim, or that
// it never will and need not be asked again.
type settleReply struct{}

// serve registers the issuer's message handlers.
func (b *issuer) serve(link peer.Link) {
	peer.Handle(link, kindRedeem, func(_ context.Context, _ peer.HostID, req redeemRequest) (redeemReply, error) {
		b.l.counts.Add("redeemed_for_peers", 1)
		return b.redeem(req), nil
	})
	peer.Handle(link, kindSettle, func(_ context.Context, _ peer.HostID, req settleRequest) (settleReply, error) {
		return b.recordEnd(req), nil
	})
}
