package quarantine

import (
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// credentialSeeds is the number of histories with callers whose credentials change.
var credentialSeeds = flag.Int("credential-seeds", 20, "random histories with callers of one page whose credentials change")

const (
	// pageGroup is the group of the requests for one page, by callers with different credentials.
	pageGroup = 21
	// pageCallers is the number of callers of the page that keep their credential.
	pageCallers = 20
	// firstCredential and firstPoisonCredential begin the digests of their requests and of those that
	// crash targets, firstNewCredential those of innocent ones with a credential that is used once.
	firstCredential       = 100
	firstNewCredential    = 2_000_000
	firstPoisonCredential = 3_000_000
)

// credentials is a history of a page that some requests crash targets with, each with a new credential.
type credentials struct {
	*faults
	// retries is set if a crashing request is sent once more at once, as one that may be repeated is.
	retries bool
	// kept counts the requests of innocent callers that keep their credential, fresh those with a new one.
	kept, fresh served
}

// served counts requests, and those of them that were answered at once.
type served struct{ sent, answered int }

func newCredentials(seed uint64) *credentials {
	return &credentials{faults: newFaults(seed, false), retries: seed%2 == 0}
}

// play plays the page beside other requests.
func (c *credentials) play() {
	var wg sync.WaitGroup
	begin := time.Now()
	end := begin.Add(faultsFor)
	c.sendEvery(&wg, begin, end, func(i int) sentRequest { return sentRequest{digest: innocentDigest + uint64(i)} }, 10*time.Millisecond)
	c.every(&wg, begin, end, 20*time.Millisecond, func(i int) {
		c.sendPage(firstCredential+uint64(i%pageCallers), &c.kept)
	})
	c.every(&wg, begin, end, 500*time.Millisecond, func(i int) {
		c.sendPage(firstNewCredential+uint64(i), &c.fresh)
	})
	from := begin.Add(c.duration(time.Second, 4*time.Second))
	pace := c.duration(300*time.Millisecond, 2*time.Second)
	c.every(&wg, from, end, pace, func(i int) {
		r := sentRequest{digest: firstPoisonCredential + uint64(i), group: pageGroup, poison: true}
		if c.sendOnce(r); c.retries {
			c.sendOnce(r)
		}
	})
	wg.Go(func() { c.injectFaults(end) })
	wg.Wait()
	for _, stop := range c.stops {
		stop()
	}
	time.Sleep(10 * time.Second)
}

// every calls f at intervals until a time, without waiting for it.
func (c *credentials) every(wg *sync.WaitGroup, from, until time.Time, pace time.Duration, f func(i int)) {
	wg.Go(func() {
		time.Sleep(time.Until(from))
		for i := 0; time.Now().Before(until); i++ {
			wg.Go(func() { f(i) })
			time.Sleep(c.duration(pace/2, 3*pace/2))
		}
	})
}

// sendPage sends an innocent request for the page through a random host.
func (c *credentials) sendPage(digest uint64, count *served) {
	ok := c.sendOnce(sentRequest{digest: digest, group: pageGroup})
	c.mu.Lock()
	defer c.mu.Unlock()
	count.sent++
	if ok {
		count.answered++
	}
}

// Guards against a request that crashes targets without end since its caller's credential is new each time, and
// against innocent callers of the same page that pay for it although the host has answered them before.
func TestHistoriesWithChangingCredentials(t *testing.T) {
	crashes, late := 0, 0
	var kept, fresh served
	for seed := range uint64(*credentialSeeds) {
		var c *credentials
		synctest.Test(t, func(*testing.T) {
			c = newCredentials(seed)
			c.play()
		})
		n := len(c.crashedAt[pageGroup])
		assert.Check(t, c.late[pageGroup] <= maxLateRuns, "seed %d: %d crashes, %d late", seed, n, c.late[pageGroup])
		assert.Check(t, c.answeredRefused == 0, "seed %d: %d refusals by hosts that had answered the caller", seed, c.answeredRefused)
		for digest, at := range c.refusedAt {
			page := digest >= firstCredential && digest < firstCredential+pageCallers || digest >= firstNewCredential
			assert.Check(t, page, "seed %d: innocent request %d refused %d times", seed, digest, len(at))
		}
		crashes, late = max(crashes, n), max(late, c.late[pageGroup])
		kept.sent, kept.answered = kept.sent+c.kept.sent, kept.answered+c.kept.answered
		fresh.sent, fresh.answered = fresh.sent+c.fresh.sent, fresh.answered+c.fresh.answered
	}
	t.Logf("%d histories: at most %d crashes, %d late; innocent callers of the page answered: %d of %d that keep their credential, %d of %d with a new one each time",
		*credentialSeeds, crashes, late, kept.answered, kept.sent, fresh.answered, fresh.sent)
}
