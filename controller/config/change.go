package config

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Change is a committed change: the state of a workspace from this sequence number on.
type Change struct {
	// Sequence numbers all changes of all workspaces, from 1 and without gaps.
	Sequence uint64 `msgpack:"sequence" json:"sequence"`
	// ID is chosen by the operator's client and identifies repeated requests.
	ID string `msgpack:"id" json:"id"`
	// Operator is the name of the operator, CommittedAt the time by the committing host's
	// clock.
	Operator    string    `msgpack:"who" json:"who"`
	CommittedAt time.Time `msgpack:"when" json:"when"`
	// RollbackTo is the workspace version that was restored, or 0.
	RollbackTo uint64            `msgpack:"rollback_to" json:"rollbackTo,omitempty"`
	Workspace  declare.Workspace `msgpack:"workspace" json:"workspace"`
	// Source is the text of the workspace file. It is stored in the table but not sent to
	// peers.
	Source string `msgpack:"source,omitempty" json:"source,omitempty"`
}

// withoutSource returns the change as it is sent to peers.
func (c Change) withoutSource() Change {
	c.Source = ""
	return c
}

// headRow is the value of the head row. It identifies the newest change.
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

// encode returns the stored form of v, whose type must be one of this package. It panics
// on failure, which can only be a programming error.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return b
}

// decodeRow decodes the value of a row. An absent row yields the zero value.
func decodeRow[T any](r ports.Row) (T, error) {
	var v T
	if r.Version == 0 {
		return v, nil
	}
	err := msgpack.Unmarshal(r.Value, &v)
	return v, errors.Wrapf(err, "row %s", r.Key)
}
