package budget

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/ports"
)

// share is the value of the row that represents one share.
type share struct {
	Holder ports.HostID `msgpack:"h"`
	// Nonce is unique to each write, so that a writer whose reply was lost
	// recognizes its own row when it reads it back.
	Nonce string `msgpack:"n"`
	// Lease is how long other hosts have to wait from when they first saw the row.
	Lease time.Duration `msgpack:"l"`
	// Released is set if the holder will not use the share any more.
	Released bool `msgpack:"r"`
	// Spent is what the holder has spent in the last Window or, before it releases
	// the share, may have spent when its lease ends. The next holder continues from
	// there and reports it to its own successor for as long, because hosts that
	// have received a change of the budget and hosts that have not may hold the
	// share alternately.
	Spent  time.Duration `msgpack:"s"`
	Window time.Duration `msgpack:"w"`
}

func rowKey(workspace string, i int) string {
	return "budget/" + workspace + "/" + strconv.Itoa(i)
}

func (s share) encode() []byte {
	b, err := msgpack.Marshal(s)
	if err != nil {
		// Encoding plain data fields can not fail.
		panic(err)
	}
	return b
}

// rowView is the last version of a row that this host has read.
type rowView struct {
	version uint64
	share   share
	// firstSeen is when this host first read this version of the row.
	firstSeen time.Time
}

// update records a row that was read.
func (v *rowView) update(now time.Time, r ports.Row) {
	var s share
	if r.Version > 0 && msgpack.Unmarshal(r.Value, &s) != nil {
		// An undecodable row is treated as a lease of the default duration, and
		// replaced after it has expired.
		s = share{Nonce: "unreadable", Lease: DefaultTiming().Lease}
	}
	if v.version == r.Version && v.share.Nonce == s.Nonce && !v.firstSeen.IsZero() {
		return
	}
	*v = rowView{version: r.Version, share: s, firstSeen: now}
}

// available reports whether the share may be taken, and what may have been spent under
// it in the preceding window.
//
// The holder counts its lease from before it wrote the row. Other hosts count a
// longer time from after they first saw the row, by their own clocks. So the
// holder's lease always ends first, whatever time the clocks show, as long as their
// rates differ by no more than the margin covers.
func (v *rowView) available(
	now time.Time, margin, allowance time.Duration,
) (spent time.Duration, ok bool) {
	switch {
	case v.version == 0:
		return 0, true
	case v.share.Released:
		return v.share.Spent, true
	case now.Sub(v.firstSeen) >= v.share.Lease+margin:
		return max(allowance, v.share.Spent), true
	default:
		return 0, false
	}
}
