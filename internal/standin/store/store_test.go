package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/ports"
)

func insert(key, value string) ports.Op {
	return ports.Op{Kind: ports.OpInsert, Key: key, Value: []byte(value)}
}

func TestCommitIsAllOrNothing(t *testing.T) {
	s := New(Limits{})
	ctx := context.Background()
	res, err := s.Commit(ctx, insert("a", "1"))
	assert.NilError(t, err)
	assert.Check(t, res.Applied)

	res, err = s.Commit(ctx, insert("b", "2"), insert("a", "3"))
	assert.NilError(t, err)
	assert.Check(t, !res.Applied)
	assert.Equal(t, res.Conflicts[0].Key, "a")
	rows, err := s.Get(ctx, "a", "b")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "1")
	assert.Equal(t, rows[1].Version, uint64(0))
}

// Guards against treating ErrUncertain as a failed write: when the reply is lost after the
// write was applied, the writer gets an error, yet a read returns the row.
func TestLostReplyAfterTheWriteTookEffect(t *testing.T) {
	s := New(Limits{})
	ctx := context.Background()
	s.SetFaults(Faults{LoseReply: func() bool { return true }})
	_, err := s.Commit(ctx, insert("a", "1"))
	assert.Check(t, errors.Is(err, ports.ErrUncertain))
	rows, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "1")
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Limits{})
		s.SetHostLag(2 * time.Second)
		s.SetHosts([]ports.Host{{ID: "h1"}})
		snap, err := s.Hosts().List(context.Background(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Hosts), 0)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		snap, err = s.Hosts().List(context.Background(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Hosts), 1)
	})
}
