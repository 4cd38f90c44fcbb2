// Package ports defines the interfaces to the services that the platform provides: a
// transactional table, an object store and an eventually consistent list of hosts. Package
// ports/httpstore implements them over HTTP; tests use fakes.
//
// The two errors ErrUnavailable and ErrUncertain tell whether a failed operation may have
// taken effect.
package ports

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable means that the operation did not take effect and never will: the platform
// rejected it, or the request was never sent.
var ErrUnavailable = errors.New("platform unavailable")

// ErrUncertain means that the response was lost: the operation may have taken effect or may
// still do so. The caller has to read the data back to find out.
var ErrUncertain = errors.New("platform answer lost")

// Row is one row of the table.
type Row struct {
	Key string
	// Version counts the writes to this key, starting at 1. An absent key has Version 0.
	Version uint64
	Value   []byte
}

// OpKind is the kind of an operation in a transaction.
type OpKind uint8

const (
	// OpInsert writes a row if the key is absent.
	OpInsert OpKind = iota + 1
	// OpUpdate writes a row if its current version is Op.Version.
	OpUpdate
	// OpPut writes a row unconditionally.
	OpPut
	// OpDelete removes a row if its current version is Op.Version, or unconditionally if
	// Op.Version is 0.
	OpDelete
	// OpCheck requires that the row's current version is Op.Version; 0 means absent.
	OpCheck
)

// Op is one operation of a transaction.
type Op struct {
	Kind    OpKind
	Key     string
	Version uint64
	Value   []byte
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	// Applied is true if every operation took effect, false if none did.
	Applied bool
	// Conflicts holds, for a transaction that was not applied, the current row of each operation
	// whose condition failed.
	Conflicts []Row
}

// Table is a transactional key-value table. If the platform gives no result, methods return
// ErrUnavailable or, for Commit only, ErrUncertain; test for them with errors.Is.
// Implementations are safe for concurrent use.
type Table interface {
	// Get returns one row for each key, in the order of the keys. An absent key has Version 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows, in key order, whose keys start with prefix and are greater
	// than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all operations or none.
	Commit(ctx context.Context, ops ...Op) (CommitResult, error)
}
