package blackboard

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func TestWatchSeesTheNewestValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New()
		ctx, cancel := context.WithCancel(context.Background())
		var seen []bool
		done := make(chan error, 1)
		go func() {
			done <- b.Status.Watch(ctx, func(s Status) { seen = append(seen, s.ConfigConfirmed) })
		}()
		synctest.Wait()
		b.Status.Update(func(s Status) (Status, bool) {
			s.ConfigConfirmed = true
			return s, true
		})
		synctest.Wait()
		cancel()
		assert.NilError(t, <-done)
		assert.DeepEqual(t, seen, []bool{false, true})
		assert.Equal(t, b.Status.Version(), uint64(1))
		assert.NilError(t, b.Close())
	})
}

func TestUpdateThatChangesNothingIsNotAnnounced(t *testing.T) {
	b := New()
	changed := b.Status.Update(func(s Status) (Status, bool) { return s, false })
	assert.Check(t, !changed)
	assert.Equal(t, b.Status.Version(), uint64(0))
	assert.NilError(t, b.Close())
}
