package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

func TestAnswersAreDatedByWhenTheyWereCertainlySo(t *testing.T) {
	asked := time.Now()
	after := func(d time.Duration) time.Time { return asked.Add(d) }
	quiet := directory.Changes{Waited: time.Second}
	for name, tc := range map[string]struct {
		now  time.Time
		ch   directory.Changes
		want time.Time
	}{
		"news, at once":               {after(5 * time.Millisecond), directory.Changes{Config: config(1)}, asked},
		"news, late on its way":       {after(3 * time.Second), directory.Changes{Config: config(1)}, asked},
		"rows of no interest":         {after(3 * time.Second), directory.Changes{}, asked},
		"no change for the wait":      {after(1005 * time.Millisecond), quiet, after(950 * time.Millisecond)},
		"no change, late on its way":  {after(3 * time.Second), quiet, after(950 * time.Millisecond)},
		"no change, before its wait":  {after(300 * time.Millisecond), quiet, asked},
		"no change, a little earlier": {after(990 * time.Millisecond), quiet, after(950 * time.Millisecond)},
	} {
		assert.Equal(t, certainAt(asked, tc.now, tc.ch), tc.want, name)
	}
}

// A watcher's word counts from an answer that holds the configuration at hand, and not while
// the last that held one held another: one that was refused, or one from before, of a store
// whose reading is stale.
func TestOnlyTheConfigurationAtHandIsConfirmed(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		fl.record.Configure(config(5))
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
			"the one at hand":          {[]directory.Changes{{Config: config(5)}}, true},
			"no change after it":       {[]directory.Changes{{Config: config(5)}, {}}, true},
			"a stale reading":          {[]directory.Changes{{Config: config(5)}, {Config: config(4)}, {}}, false},
			"a newer one, refused":     {[]directory.Changes{{Config: config(5)}, {Config: config(6)}, {}}, false},
			"one that is not read":     {[]directory.Changes{{Config: config(5)}, {ConfigUnread: true}, {}}, false},
			"the one at hand, at last": {[]directory.Changes{{ConfigUnread: true}, {Config: config(5)}}, true},
		} {
			w := new(watching)
			for _, ch := range tc.answers {
				c.noteConfig(w, ch, at)
			}
			assert.Check(t, w.configAt.Equal(at) == tc.confirmed, name)
		}
	})
}

// Whatever tells of a newer version keeps a host from denying by its own: a change that it can
// not apply, for it lacks what the change begins at, and a host that asks for what it missed.
func TestHostHearsOfNewerVersionsWhereverTheyAreTold(t *testing.T) {
	withFleet(t, 3, func(fl *fleet) {
		h := fl.hosts[0]
		newest := func() uint64 { return h.board.Confirmation.Load().Newest }
		assert.Equal(t, newest(), uint64(1))
		h.c.mu.Lock()
		h.c.merge(time.Now(), directory.Changes{Delta: &routing.Delta{Base: 6, Version: 7}}, "x")
		h.c.mu.Unlock()
		assert.Equal(t, newest(), uint64(7))
		_, err := h.c.onSync(t.Context(), ports.HostID("x"), syncRequest{Host: fl.hosts[1].c.deps.Self, Version: 9})
		assert.NilError(t, err)
		assert.Equal(t, newest(), uint64(9))
		assert.Equal(t, h.version(), uint64(1))
	})
}
