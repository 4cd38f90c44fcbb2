// Package ports holds the ports to what the platform gives: a transactional
// table, an object store and a lagging list of hosts. The adapters over HTTP
// are in package ports/httpstore; tests put fakes behind the same ports.
package ports

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable says that the operation did not take effect and never will:
// the platform refused it, or the request never left.
var ErrUnavailable = errors.New("platform unavailable")

// ErrUncertain says that the answer was lost: the operation may have taken
// effect, or may still do so. The caller has to read back.
var ErrUncertain = errors.New("platform answer lost")

// Row is one row of the table.
type Row struct {
	Key string
	// Version counts the writes to this key, from 1. A key that is absent has
	// Version 0.
	Version uint64
	Value   []byte
}

// OpKind is the kind of an operation in a transaction.
type OpKind uint8

const (
	// OpInsert writes a row if the key is absent.
	OpInsert OpKind = iota + 1
	// OpUpdate writes a row if its version is Op.Version.
	OpUpdate
	// OpPut writes a row whatever is there.
	OpPut
	// OpDelete removes a row if its version is Op.Version, or whatever its
	// version if Op.Version is 0.
	OpDelete
	// OpCheck requires that the row's version is Op.Version (0: absent).
	OpCheck
)

// Op is one operation of a transaction.
type Op struct {
	Kind    OpKind
	Key     string
	Version uint64
	Value   []byte
}

// CommitResult is the answer to a transaction.
type CommitResult struct {
	// Applied is true if every operation took effect, false if none did.
	Applied bool
	// Conflicts holds, for a transaction that was not applied, the present row
	// of each operation whose condition failed.
	Conflicts []Row
}

// Table is a transactional key-value table. All methods return ErrUnavailable
// or, for Commit alone, ErrUncertain when the platform gives no answer; both
// are to be tested with errors.Is. Implementations are safe for concurrent use.
type Table interface {
	// Get returns a row for each key, in order; an absent key has Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is
	// greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all operations or none.
	Commit(ctx context.Context, ops ...Op) (CommitResult, error)
}
