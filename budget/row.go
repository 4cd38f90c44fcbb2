package budget

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/ports"
)

// share is the value of the row that stands for one share.
type share struct {
	Holder ports.HostID `msgpack:"h"`
	// Nonce differs for each write, so that a writer whose answer was lost
	// knows its own row when it reads it back.
	Nonce string `msgpack:"n"`
	// Lease is what others have to wait for, from when they first saw the row.
	Lease time.Duration `msgpack:"l"`
	// Released tells that the holder will not use the share any more.
	Released bool `msgpack:"r"`
	// Spent is what the holder has spent in the last Window or, before it
	// releases the share, may have spent when its lease ends. Its successor goes
	// on from there, and tells the next one for as long: hosts that have heard
	// of a change of the budget and hosts that have not may take turns.
	Spent  time.Duration `msgpack:"s"`
	Window time.Duration `msgpack:"w"`
}

func rowKey(workspace string, i int) string {
	return "budget/" + workspace + "/" + strconv.Itoa(i)
}

func (s share) encode() []byte {
	b, err := msgpack.Marshal(s)
	if err != nil {
		// A struct of plain fields always encodes.
		panic(err)
	}
	return b
}

// view is a row as this host knows it.
type view struct {
	version uint64
	share   share
	// firstSeen is when this host first saw this write of the row.
	firstSeen time.Time
}

// update takes in a row that was read.
func (v *view) update(now time.Time, r ports.Row) {
	var s share
	if r.Version > 0 && msgpack.Unmarshal(r.Value, &s) != nil {
		// A row that can not be read is waited for like a lease of this version,
		// and then replaced.
		s = share{Nonce: "unreadable", Lease: DefaultLimits().Lease}
	}
	if v.version == r.Version && v.share.Nonce == s.Nonce && !v.firstSeen.IsZero() {
		return
	}
	*v = view{version: r.Version, share: s, firstSeen: now}
}

// free reports whether the share may be taken, and what may have been spent
// under it in the window before.
//
// The holder counts its lease from before it wrote the row, and we count a longer time from after we
// saw it written, each on its own clock: whatever the clocks show, the holder's time ends first, so
// long as they run at rates that the margin covers.
func (v *view) free(now time.Time, margin, allowance time.Duration) (spent time.Duration, ok bool) {
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
