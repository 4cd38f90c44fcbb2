package ledger

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/batch"
	"github.com/cactusproxy/cactusproxy/ledger/keys"
)

// Options are the operator's settings of a Ledger. Zero fields take their defaults.
type Options struct {
	// ClusterKeys are the secrets that authenticate issued keys: the first one
	// signs, all are accepted. They must be the same on all hosts. Without any, no
	// keys are issued.
	ClusterKeys [][]byte
	// WriteRate is this host's share of the table's transactions per second.
	WriteRate float64
	// PoolRate is the number of transactions per second that the coordinator may
	// make in addition to its own share, to commit the writes of all hosts
	// together. If zero, each host commits its own writes.
	PoolRate float64
	// Retention is the maximum age of a key that carries its creation time.
	Retention time.Duration
	// OpaqueRetention is how long a key without a creation time is remembered. The
	// key runs again if it is sent after that. Zero means forever.
	OpaqueRetention time.Duration
	// IssuedWindow is the maximum age of an issued key.
	IssuedWindow time.Duration
	// MaxResponseSize is the size in bytes of the largest response that is stored.
	MaxResponseSize int
	// ResponseMemory limits the bytes of responses in memory, separately for
	// responses to issued keys and for responses waiting to be written to the
	// table.
	ResponseMemory int
	// ReclaimDelay is how long after a claim was given up another request may
	// acquire the key. Half of it is the clock difference between hosts that is
	// tolerated; see judgeGivenUp.
	ReclaimDelay time.Duration
	// IssuerTimeout is how long a call waits for the host that issued its key.
	IssuerTimeout time.Duration
	// SweepInterval is the mean time between two sweep steps, each of which deletes
	// expired rows in at most one transaction. A negative value disables sweeping.
	SweepInterval time.Duration
}

// Defaults of Options.
const (
	DefaultRetention       = 24 * time.Hour
	DefaultIssuedWindow    = 15 * time.Minute
	DefaultMaxResponseSize = 16 << 10
	DefaultResponseMemory  = 64 << 20
	DefaultReclaimDelay    = 800 * time.Millisecond
	DefaultIssuerTimeout   = 2 * time.Second
	DefaultSweepInterval   = 10 * time.Second
)

// clockTolerance is how far in the future a key's creation time may lie. It is also
// added to the retention before a row is deleted.
const clockTolerance = 10 * time.Minute

// unlimited is the duration used where there is no time limit.
const unlimited = 100 * 365 * 24 * time.Hour

func (o Options) withDefaults() Options {
	if o.WriteRate <= 0 {
		o.WriteRate = batch.DefaultRate
	}
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.IssuedWindow, DefaultIssuedWindow)
	setDefault(&o.ReclaimDelay, DefaultReclaimDelay)
	setDefault(&o.IssuerTimeout, DefaultIssuerTimeout)
	if o.SweepInterval == 0 {
		o.SweepInterval = DefaultSweepInterval
	}
	setDefault(&o.MaxResponseSize, DefaultMaxResponseSize)
	setDefault(&o.ResponseMemory, DefaultResponseMemory)
	return o
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// notRunWindow is how long after a claim was given up not-run may still be
// reported.
func (o Options) notRunWindow() time.Duration { return o.ReclaimDelay / 2 }

// keyRetention is how long a key is guaranteed not to run a second time. Timed and
// issued keys are refused forever once they have expired.
func (o Options) keyRetention(k keys.Kind) time.Duration {
	if k == keys.Opaque && o.OpaqueRetention > 0 {
		return o.OpaqueRetention
	}
	return unlimited
}

// maxHold is how long after its creation a claim may still be used to send. It ends
// long before the row is deleted and the key could be claimed again.
func (o Options) maxHold(k keys.Kind) time.Duration {
	if k == keys.Timed {
		return o.Retention / 2
	}
	if o.OpaqueRetention <= 0 {
		return unlimited
	}
	return o.OpaqueRetention / 2
}
