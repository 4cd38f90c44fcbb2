package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cactusproxy/cactusproxy/internal/fakes/endless"
)

// firstSeedOfPoison is the first seed whose targets crash while they run the reads of one caller, send responses
// without end, and whose callers have credentials and share their paths.
const firstSeedOfPoison = 90_000

const (
	// poisonCredential begins the credential of the caller whose reads crash targets. It is a new one for each
	// request if the seed is odd.
	poisonCredential = "poison-"
	poisonPause      = 500 * time.Millisecond
	// knownAfter is how long after the third crash a host in touch must hold the reads back, maxLateReads how many
	// of them may reach targets later than that, each of them one or two.
	knownAfter   = 3 * time.Second
	maxLateReads = 3
)

// crash is the end of a target by a request.
type crash struct {
	id string
	at time.Time
}

// intercept handles a request in place of its target, and reports whether it did.
func (t *targetSet) intercept(b *testTarget, w http.ResponseWriter, r *http.Request, id string) bool {
	if strings.HasPrefix(r.Header.Get(headerAuthorization), poisonCredential) {
		t.mu.Lock()
		t.crashes = append(t.crashes, crash{id, time.Now()})
		t.mu.Unlock()
		_ = t.crash(b)
		return true
	}
	return answersWithoutEnd(w, id)
}

// withoutEnd are responses without end; none has the target's headers.
var withoutEnd = []endless.Answer{
	{Start: "HTTP/1.1 200 OK\r\n", Repeat: "X: y\r\n"},
	{Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "y"},
	{Start: "HTTP/1.1 200 OK\r\nX: ", Repeat: "y", Pause: 10 * time.Millisecond},
	{Repeat: "y"},
}

// answersWithoutEnd sends a response that never ends to one request in a hundred, and reports whether it did.
func answersWithoutEnd(w http.ResponseWriter, id string) bool {
	sum := hashID(id)
	if sum%50 != 2 { // never true for the half of the hashes that are negative
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	withoutEnd[sum/50%len(withoutEnd)].WriteTo(conn)
	return true
}

// poisonCaller sends the reads that crash targets until ctx ends.
func (s *Soak) poisonCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: keepRedirect}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, poisonPause/2+time.Duration(rng.Int64N(int64(poisonPause))))
		p := s.balance(rng)
		if p == nil {
			continue
		}
		r := &request{id: fmt.Sprintf("s%d-poison-%d", s.seed, i), process: p, run: p.generation(), route: route{name: "lots"}, credential: poisonCredential}
		if s.seed%2 == 1 {
			r.credential += fmt.Sprint(i)
		}
		s.exchange(c, r, http.MethodGet, nil)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
	}
}

// checkPoison looks for reads that crashed targets through undisturbed hosts long after the third crash.
func (s *Soak) checkPoison() {
	crashes := s.targets.crashes
	if len(crashes) < 3 {
		return
	}
	byID, third, late := s.byID(), crashes[2].at, make(map[string]bool)
	for _, c := range crashes[3:] {
		if r := byID[c.id]; r != nil && r.undisturbed && r.at.Sub(third) > knownAfter {
			late[c.id] = true
		}
	}
	if len(late) > maxLateReads {
		s.reportViolation("the reads of one caller crashed %d targets, %d of them through undisturbed hosts more than %s after the third", len(crashes), len(late), knownAfter)
	}
}
