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

// issuedID names a key to its issuer. The seal was checked by the host that
// asks: it knows the caller, and hosts trust each other.
type issuedID struct {
	Incarnation uint64 `msgpack:"i"`
	Serial      uint64 `msgpack:"n"`
	// Time is when the key was made, in milliseconds of Unix time.
	Time int64 `msgpack:"t"`
}

func newIssuedID(id keys.ID) issuedID {
	return issuedID{Incarnation: id.Incarnation, Serial: id.Serial, Time: id.Time.UnixMilli()}
}

// redeemRequest asks the issuer for the claim to a key.
type redeemRequest struct {
	ID          issuedID `msgpack:"k"`
	Claim       claimID  `msgpack:"c"`
	Digest      Digest   `msgpack:"d"`
	DigestKnown bool     `msgpack:"dk"`
	// Arrived is when the call reached the host that asks, in nanoseconds of
	// Unix time.
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

// key is the part of the asking send's key that is judged.
func (r redeemRequest) key() Key {
	return Key{Digest: r.Digest, DigestKnown: r.DigestKnown, Arrived: time.Unix(0, r.Arrived)}
}

// redeemStatus is the issuer's decision.
type redeemStatus uint8

const (
	// redeemHeld: the claim that asked holds the key.
	redeemHeld redeemStatus = iota + 1
	// redeemTold: another claim had the key; the record says what became of it.
	redeemTold
	// redeemGone: the key is of an earlier incarnation.
	redeemGone
	// redeemExpired: the key is past its window.
	redeemExpired
)

type redeemReply struct {
	Status redeemStatus `msgpack:"s"`
	Record record       `msgpack:"r"`
}

// settleRequest tells the issuer what became of a claim.
type settleRequest struct {
	ID     issuedID `msgpack:"k"`
	Record record   `msgpack:"r"`
}

// settleReply says that the issuer has noted it, or never will.
type settleReply struct{}

// serve registers the handlers of the issuer.
func (b *issuer) serve(link peer.Link) {
	peer.Handle(link, kindRedeem, func(_ context.Context, _ peer.HostID, req redeemRequest) (redeemReply, error) {
		b.l.counts.Add("redeemed_for_peers", 1)
		return b.redeem(req), nil
	})
	peer.Handle(link, kindSettle, func(_ context.Context, _ peer.HostID, req settleRequest) (settleReply, error) {
		return b.record(req), nil
	})
}
