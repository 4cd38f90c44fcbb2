package config

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Change is one accepted change: a workspace as it is from this sequence number
// on.
type Change struct {
	// Sequence counts all changes, from 1 and without gaps.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
	// ID was chosen by the operator's client; it tells a repeated request.
	ID string `msgpack:"id" json:"id"`
	// Operator is the operator's name and When the committing host's time.
	Operator    string    `msgpack:"who" json:"who"`
	CommittedAt time.Time `msgpack:"when" json:"when"`
	// RollbackTo is the workspace version that was brought back, or 0.
	RollbackTo uint64            `msgpack:"rollback_to" json:"rollbackTo,omitempty"`
	Workspace  declare.Workspace `msgpack:"workspace" json:"workspace"`
	// Source is the workspace file. It is kept in the table but not pushed.
	Source string `msgpack:"source,omitempty" json:"source,omitempty"`
}

// delta returns the change as peers need it.
func (c Change) delta() Change {
	c.Source = ""
	return c
}

// headRow is the value of the head row: the newest change.
type headRow struct {
	Sequence uint64 `msgpack:"sequence"`
	ChangeID string `msgpack:"change_id"`
}

// Keys of the table.
const (
	keyHead          = "config/head"
	prefixLog        = "config/log/"
	prefixWorkspaces = "config/workspace/"
)

func keyLog(sequence uint64) string         { return fmt.Sprintf("%s%020d", prefixLog, sequence) }
func keyWorkspace(name string) string       { return prefixWorkspaces + name }
func keyChange(id string) string            { return "config/change/" + id }
func prefixVersions(name string) string     { return "config/version/" + name + "/" }
func keyTemplate(t string, v uint64) string { return fmt.Sprintf("config/template/%s/%020d", t, v) }

func keyVersion(name string, version uint64) string {
	return fmt.Sprintf("%s%020d", prefixVersions(name), version)
}

// encode returns the row value of v, whose types are all this package's own.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return b
}

// decodeRow reads a row's value; an absent row leaves the zero value.
func decodeRow[T any](r ports.Row) (T, error) {
	var v T
	if r.Version == 0 {
		return v, nil
	}
	err := msgpack.Unmarshal(r.Value, &v)
	return v, errors.Wrapf(err, "row %s", r.Key)
}
