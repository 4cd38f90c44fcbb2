package ledger

import (
	"time"

	"github.com/cactusproxy/cactusproxy/ledger/batch"
	"github.com/cactusproxy/cactusproxy/ledger/keys"
)

// Options are the operator's settings of a ledger. Zero fields get defaults.
type Options struct {
	// ClusterKeys authenticate issued keys: the first makes them, all are
	// accepted. They are the same on all hosts. Without any, none are issued.
	ClusterKeys [][]byte
	// WriteRate is this host's share of the table's transactions a second.
	WriteRate float64
	// PoolRate is the share of the table's transactions a second that the
	// coordinator has on top of its own, to commit the writes of all hosts
	// together. Zero has each host write for itself.
	PoolRate float64
	// Retention is how old a key that carries its time may be.
	Retention time.Duration
	// OpaqueRetention is how long a key that carries no time is remembered. A
	// key sent again after that runs again. Zero remembers it for good.
	OpaqueRetention time.Duration
	// IssuedWindow is how old an issued key may be.
	IssuedWindow time.Duration
	// MaxAnswer is the largest answer in bytes that is stored.
	MaxAnswer int
	// AnswerMemory bounds the answers in bytes kept in memory: those to issued
	// keys, and those that wait for the table.
	AnswerMemory int
	// ReopenAfter is how long after a claim was given up another send may take
	// it. Half of it bounds how far the hosts' clocks may differ; see reopening.
	ReopenAfter time.Duration
	// IssuerPatience is how long a call waits for the host that issued its key.
	IssuerPatience time.Duration
	// SweepEvery is the time between two transactions that delete expired rows;
	// negative deletes none.
	SweepEvery time.Duration
}

// Defaults of Options.
const (
	DefaultRetention      = 24 * time.Hour
	DefaultIssuedWindow   = 15 * time.Minute
	DefaultMaxAnswer      = 16 << 10
	DefaultAnswerMemory   = 64 << 20
	DefaultReopenAfter    = 800 * time.Millisecond
	DefaultIssuerPatience = 2 * time.Second
	DefaultSweepEvery     = 10 * time.Second
)

// clockSlack bounds how far a key's time may lie in the future, and is added to
// the retention before a row is deleted.
const clockSlack = 10 * time.Minute

// forever stands in for no limit of time.
const forever = 100 * 365 * 24 * time.Hour

func (o Options) withDefaults() Options {
	if o.WriteRate <= 0 {
		o.WriteRate = batch.DefaultRate
	}
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.IssuedWindow, DefaultIssuedWindow)
	setDefault(&o.ReopenAfter, DefaultReopenAfter)
	setDefault(&o.IssuerPatience, DefaultIssuerPatience)
	if o.SweepEvery == 0 {
		o.SweepEvery = DefaultSweepEvery
	}
	setDefault(&o.MaxAnswer, DefaultMaxAnswer)
	setDefault(&o.AnswerMemory, DefaultAnswerMemory)
	return o
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// tellWithin is how long after the stamp of a mark not-run may be told.
func (o Options) tellWithin() time.Duration { return o.ReopenAfter / 2 }

// remember is how long a key can not run a second time. A key that carries its
// time, or its issuer's, is refused for good after its window.
func (o Options) remember(k keys.Kind) time.Duration {
	if k == keys.Opaque && o.OpaqueRetention > 0 {
		return o.OpaqueRetention
	}
	return forever
}

// hold is how long after it was made a claim may still be sent. It ends long
// before the row is deleted and the key could be claimed anew.
func (o Options) hold(k keys.Kind) time.Duration {
	if k == keys.Timed {
		return o.Retention / 2
	}
	if o.OpaqueRetention <= 0 {
		return forever
	}
	return o.OpaqueRetention / 2
}
