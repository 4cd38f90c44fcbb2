package quarantine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/suspicion"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Guards against refusing requests of a zone that fails, because one of its targets lost a response before
// and its crash was taken for the same loss on all hosts.
func TestCrashIsNoticedOfATargetThatLostAResponseBefore(t *testing.T) {
	inCluster(t, 2, func(t *testing.T, c *cluster) {
		c.start(c.ids...)
		h := c.hosts["h0"]
		breakOff := func(digest uint64, target ports.RunID) {
			a, _ := h.Admit(context.Background(), suspicion.ID{Request: digest})
			a.Started(target)
			a.BrokeOff()
			time.Sleep(5 * time.Millisecond)
		}
		connected := time.Now()
		time.Sleep(time.Second)
		breakOff(5, "t1")
		time.Sleep(200 * time.Millisecond)
		h.TargetAnswered(suspicion.Answer{Target: "t1", Sent: time.Now(), Opened: connected})
		time.Sleep(2 * time.Second)

		breakOff(8, "t2")
		breakOff(8, "t3")
		a, _ := h.Admit(context.Background(), suspicion.ID{Request: 9})
		a.ConnectFailed("t1")
		a.Close()
		time.Sleep(time.Second)
		for _, id := range c.ids {
			refused, _ := c.refuses(id, 8)
			assert.Check(t, !refused, "%s", id)
		}
	})
}
