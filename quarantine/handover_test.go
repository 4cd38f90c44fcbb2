package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/internal/fakes/peernet"
	"github.com/cactusproxy/cactusproxy/metrics"
	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// cluster is a group of hosts that start, stop and lose touch with each other.
type cluster struct {
	net   *peernet.Network
	ids   []ports.HostID
	known bool
	hosts map[ports.HostID]*Quarantine
	stops []context.CancelFunc
}

func newCluster(hosts int) *cluster {
	c := &cluster{net: peernet.New(), known: true, hosts: make(map[ports.HostID]*Quarantine)}
	c.net.Delay = func(_, _ ports.HostID) time.Duration { return time.Millisecond }
	for i := range hosts {
		c.ids = append(c.ids, ports.HostID(fmt.Sprintf("h%d", i)))
	}
	return c
}

// start starts a host, or starts it anew.
func (c *cluster) start(ids ...ports.HostID) {
	for _, id := range ids {
		q := New(Deps{
			Link:         c.net.Join(id),
			Members:      func() []ports.HostID { return c.ids },
			MembersKnown: func() bool { return c.known },
			Metrics:      metrics.New(),
			Log:          zap.NewNop(),
		})
		ctx, stop := context.WithCancel(context.Background())
		c.hosts[id], c.stops = q, append(c.stops, stop)
		go func() { _ = q.Run(ctx) }()
	}
	synctest.Wait()
}

func (c *cluster) close() {
	for _, stop := range c.stops {
		stop()
	}
	time.Sleep(time.Second)
}

// quarantine makes all hosts in touch with a host hold a request back.
func (c *cluster) quarantine(id ports.HostID, digest uint64) {
	for i := range 2 {
		a, _ := c.hosts[id].Admit(context.Background(), suspicion.ID{Request: digest})
		a.Started(ports.RunID(fmt.Sprintf("t%d-%d", digest, i)))
		a.BrokeOff()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// refuses reports whether a host refuses a request as quarantined, and how long it took to decide.
func (c *cluster) refuses(id ports.HostID, digest uint64) (refused bool, took time.Duration) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, d := c.hosts[id].Admit(ctx, suspicion.ID{Request: digest})
	a.Close()
	return d.Refuse && !d.Waited, time.Since(begin)
}

func inCluster(t *testing.T, hosts int, play func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(hosts)
		defer c.close()
		play(t, c)
	})
}

// Guards against a group of requests that crash targets and that nobody notices, since in a large cluster
// suspects are told to few hosts.
func TestGroupIsNoticedInALargeCluster(t *testing.T) {
	inCluster(t, maxFullBroadcast+8, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		for i := range 3 {
			a, _ := c.hosts[c.ids[i]].Admit(context.Background(), suspicion.ID{Request: uint64(100 + i), Group: 21})
			a.Started(ports.RunID(fmt.Sprintf("t%d", i)))
			a.BrokeOff()
			time.Sleep(time.Second)
		}
		for _, id := range c.ids {
			a, d := c.hosts[id].Admit(context.Background(), suspicion.ID{Request: 200, Group: 21})
			assert.Check(t, d.Exclusive, "%s", id)
			a.Close()
		}
	})
}

// Guards against a request that crashes a target more with each host that is restarted after all have
// quarantined it.
func TestHostThatStartsKnowsWhatOthersHoldBack(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		c.quarantine("h0", 7)
		for range 3 {
			for _, id := range c.ids {
				time.Sleep(5 * time.Second)
				c.start(id)
				refused, took := c.refuses(id, 7)
				assert.Check(t, refused)
				assert.Check(t, took <= 20*time.Millisecond, "%s", took)
			}
		}
	})
}

// Guards against a host that asks one that has itself just started, and takes its answer for that of all.
func TestHostThatStartsAsksOnUntilOneKnows(t *testing.T) {
	inCluster(t, 9, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		c.quarantine("h0", 7)
		time.Sleep(5 * time.Second)
		c.start(c.ids[1:]...)
		for _, id := range c.ids {
			refused, took := c.refuses(id, 7)
			assert.Check(t, refused, "%s", id)
			assert.Check(t, took <= 20*time.Millisecond, "%s: %s", id, took)
		}
	})
}

// Guards against a host that lets a quarantined request through since it was cut off while the others
// quarantined it, and against hosts that wait for those they can't reach.
func TestHostThatReturnsAfterACutKnowsWhatOthersHoldBack(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		for _, id := range c.ids[1:] {
			c.net.Block("h0", id)
			c.net.Block(id, "h0")
		}
		c.quarantine("h1", 7)
		time.Sleep(10 * time.Second)
		refused, took := c.refuses("h0", 8)
		assert.Check(t, !refused && took == 0, "%t after %s", refused, took)
		c.net.UnblockAll()
		time.Sleep(syncInterval + 100*time.Millisecond)
		refused, _ = c.refuses("h0", 7)
		assert.Check(t, refused)
	})
}

// Guards against requests that wait for long after a start because nobody can tell this host anything.
func TestWaitAfterAStartIsBounded(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		refused, took := c.refuses("h0", 7)
		assert.Check(t, !refused)
		assert.Check(t, took <= 20*time.Millisecond, "all started at once: %s", took)
	})
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start("h0")
		refused, took := c.refuses("h0", 7)
		assert.Check(t, !refused)
		assert.Check(t, took <= catchUpWait, "nobody answers: %s", took)
	})
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		c.start("h0")
		refused, took := c.refuses("h0", 7)
		assert.Check(t, !refused)
		assert.Equal(t, took, time.Duration(0))
	})
	inCluster(t, 1, func(t *testing.T, c *cluster) {
		c.known = false
		c.start("h0")
		time.Sleep(100 * time.Millisecond)
		c.ids = append(c.ids, "h1")
		c.start("h1")
		c.known = true
		refused, took := c.refuses("h0", 7)
		assert.Check(t, !refused)
		assert.Check(t, took <= catchUpPause+10*time.Millisecond, "%s", took)
	})
}

// Guards against a request that is never tried again: hosts whose quarantine has ended adopt it anew from
// those whose has not.
func TestComparingHostsDoNotProlongAQuarantine(t *testing.T) {
	inCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		c.quarantine("h0", 7)
		time.Sleep(10*time.Minute + 10*time.Second)
		for _, id := range c.ids {
			refused, _ := c.refuses(id, 7)
			assert.Check(t, !refused, "%s", id)
		}
	})
}

// Guards against a host that adopts more than it can hold, or less than there is.
func TestManyQuarantinedRequestsAreHandedOver(t *testing.T) {
	const requests = 3000
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		h := c.hosts["h0"]
		h.locked(func(now time.Time) {
			for d := range uint64(requests) {
				h.tracker.Merge(now, oldRecord(digestOf(d)), false)
			}
		})
		time.Sleep(2 * time.Second)
		c.start("h1")
		_, took := c.refuses("h1", 1) // waits for the requests of the other host
		held := 0
		for d := range uint64(requests) {
			if refused, _ := c.refuses("h1", digestOf(d)); refused {
				held++
			}
		}
		assert.Equal(t, held, requests)
		assert.Check(t, took < catchUpWait, "%s", took)
	})
}

// digestOf returns a digest that is spread like the hash of a request.
func digestOf(n uint64) suspicion.Digest { return (n + 1) * 0x9e3779b97f4a7c15 }

// oldRecord returns the record of a request that was quarantined some seconds ago.
func oldRecord(d suspicion.Digest) suspicion.Record {
	const age = 10 * time.Second
	return suspicion.Record{
		Digest: d, State: suspicion.Quarantined, Age: age, SinceSent: age,
		Losses: []suspicion.LossRecord{{Target: "t1", SinceLoss: age}, {Target: "t2", SinceLoss: age, Trial: true}},
	}
}

// Guards against requests that wait after a start for hosts that are down, although one that is informed has
// answered.
func TestStartDoesNotWaitForHostsThatAreDown(t *testing.T) {
	inCluster(t, 4, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		c.quarantine("h0", 7)
		for _, id := range c.ids[2:] {
			for _, to := range c.ids {
				c.net.Block(to, id)
			}
		}
		c.start("h1")
		refused, took := c.refuses("h1", 7)
		assert.Check(t, refused)
		assert.Check(t, took <= 20*time.Millisecond, "%s", took)
	})
}
