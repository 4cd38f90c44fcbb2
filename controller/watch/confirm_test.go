package watch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

func TestAnswersAreDatedByWhenTheyWereCertainlyValid(t *testing.T) {
	asked := time.Now()
	after := func(d time.Duration) time.Time { return asked.Add(d) }
	quiet := directory.Changes{Waited: time.Second}
	for name, tc := range map[string]struct {
		now  time.Time
		ch   directory.Changes
		want time.Time
	}{
		"changes, at once":                 {after(5 * time.Millisecond), directory.Changes{Config: config(1)}, asked},
		"changes, delayed":                 {after(3 * time.Second), directory.Changes{Config: config(1)}, asked},
		"no relevant rows":                 {after(3 * time.Second), directory.Changes{}, asked},
		"no change during the wait":        {after(1005 * time.Millisecond), quiet, after(950 * time.Millisecond)},
		"no change, delayed":               {after(3 * time.Second), quiet, after(950 * time.Millisecond)},
		"no change, before the wait ended": {after(300 * time.Millisecond), quiet, asked},
		"no change, slightly early":        {after(990 * time.Millisecond), quiet, after(950 * time.Millisecond)},
	} {
		assert.Equal(t, validAt(asked, tc.now, tc.ch), tc.want, name)
	}
}

// Guards against confirming a configuration by an answer that carried another one: one that this
// host rejected, or an older one from a stale read of the store. Later answers without changes
// must not confirm it either, until one carries the current configuration.
func TestOnlyTheConfigurationAtHandIsConfirmed(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		fl.record.PutConfig(config(5))
		time.Sleep(time.Second)
		c := fl.hosts[0].c
		c.mu.Lock()
		defer c.mu.Unlock()
		at := time.Now()
		for name, tc := range map[string]struct {
			answers   []directory.Changes
			confirmed bool
		}{
			"nothing read":             {[]directory.Changes{{}}, false},
			"the current one":          {[]directory.Changes{{Config: config(5)}}, true},
			"no change after it":       {[]directory.Changes{{Config: config(5)}, {}}, true},
			"a stale read":             {[]directory.Changes{{Config: config(5)}, {Config: config(4)}, {}}, false},
			"a newer one, rejected":    {[]directory.Changes{{Config: config(5)}, {Config: config(6)}, {}}, false},
			"an unreadable one":        {[]directory.Changes{{Config: config(5)}, {ConfigUnreadable: true}, {}}, false},
			"the current one, at last": {[]directory.Changes{{ConfigUnreadable: true}, {Config: config(5)}}, true},
		} {
			w := new(storeWatch)
			for _, ch := range tc.answers {
				c.noteConfig(w, ch, at)
			}
			assert.Check(t, w.configAt.Equal(at) == tc.confirmed, name)
		}
	})
}

// Guards against denying requests by an old configuration although a newer version was
// mentioned, be it by a delta that can not be applied for lack of its base, or by a host that
// asks for state.
func TestHostHearsOfNewerVersionsWhereverTheyAreTold(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		h := fl.hosts[0]
		newest := func() uint64 { return h.board.Confirmation.Load().Newest }
		assert.Equal(t, newest(), uint64(1))
		h.c.mu.Lock()
		h.c.merge(time.Now(), directory.Changes{Delta: &routing.Delta{Base: 6, Version: 7}}, "x")
		h.c.mu.Unlock()
		assert.Equal(t, newest(), uint64(7))
		_, err := h.c.onSync(context.Background(), ports.HostID("x"), syncRequest{Host: fl.hosts[1].c.deps.Self, Version: 9})
		assert.NilError(t, err)
		assert.Equal(t, newest(), uint64(9))
		assert.Equal(t, h.version(), uint64(1))
	})
}

// Guards against taking an answer of the store for news that waited in a buffer while this process
// was stopped: it is as old as when the store made it, and no older than the clocks can tell.
func TestAnswerThatWaitedInABufferIsDatedByTheStoresClock(t *testing.T) {
	const storeAhead = 7 * time.Hour
	var s storeClock
	s.madeAt(time.Second, 1010*time.Millisecond, storeAhead+1005*time.Millisecond)
	asked, made, received := 2*time.Second, 2900*time.Millisecond, 9*time.Second
	got := s.madeAt(asked, received, storeAhead+made)
	assert.Check(t, got <= made && got >= made-10*time.Millisecond, "dated %s, made %s", got, made)
}

// A store that starts its clock anew must not make old answers look new.
func TestClockOfTheStoreThatBeginsAnewIsMeasuredAgain(t *testing.T) {
	for _, anew := range []time.Duration{0, 20 * time.Hour} {
		var s storeClock
		s.madeAt(time.Second, 1010*time.Millisecond, 7*time.Hour)
		s.madeAt(2*time.Second, 2010*time.Millisecond, anew)
		got := s.madeAt(3*time.Second, 9*time.Second, anew+1500*time.Millisecond)
		assert.Check(t, got <= 3510*time.Millisecond, "dated %s", got)
	}
}
