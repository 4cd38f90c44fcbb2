package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	hostName = "soak.example"
	// deadline is the timeout that callers announce in their requests.
	deadline = 2 * time.Second
	// lateTolerance is how long after the deadline an undisturbed host may still
	// respond. It is generous because the machine may be busy.
	lateTolerance = 2 * time.Second
)

// request is one request of a caller and its result.
type request struct {
	id       string
	process  *process
	run      int // generation of the process when it was sent
	mutating bool
	route    route
	size     int
	at, end  time.Time
	status   int
	body     string
	seal     string
	// credential is sent in the header Authorization, unless it is empty.
	credential string
	err        error
	// reused is set if it was sent on a connection that had been used before.
	reused bool
	// undisturbed is the result of undisturbedDuring when the request ended. It is stored
	// because a later disturbance overwrites the state that it depends on.
	undisturbed bool
}

// caller sends requests one after another until ctx ends. Callers with an even number
// keep their connections alive.
func (s *Soak) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(1000+n)))
	keepAlive := &http.Client{Transport: &http.Transport{}, CheckRedirect: keepRedirect}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: keepRedirect}
	for i := 0; ctx.Err() == nil; i++ {
		p := s.balance(rng)
		if p == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c := fresh
		if n%2 == 0 {
			c = keepAlive
		}
		r := &request{id: fmt.Sprintf("s%d-c%d-%d", s.seed, n, i), process: p, run: p.generation()}
		if s.targets.poison {
			r.credential = fmt.Sprint("caller-", n)
		}
		s.sendOne(c, rng, r, s.readRoute(n+i))
		s.check(r)
		time.Sleep(time.Duration(rng.Int64N(int64(s.callerPause()))))
	}
}

// callerPause returns the longest pause of a caller between two requests.
func (s *Soak) callerPause() time.Duration {
	if s.targets.coldLimits {
		return maxColdPause
	}
	return 30 * time.Millisecond
}

// keepRedirect makes a client return a redirect instead of following it.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// uploadSize is the size of upload bodies in bytes.
const uploadSize = 60 << 10

func (s *Soak) sendOne(c *http.Client, rng *rand.Rand, r *request, reads route) {
	method := http.MethodGet
	r.route = reads
	var body []byte
	switch rng.IntN(3) {
	case 0:
		r.mutating = true
		method, r.route = http.MethodPost, route{name: "bids"}
	case 1:
		r.mutating = true
		method, r.route = http.MethodPost, route{name: "photos"}
		body = make([]byte, uploadSize)
	}
	s.exchange(c, r, method, body)
}

// headerAuthorization carries the credential of a caller.
const headerAuthorization = "Authorization"

// exchange sends a request and reads its response.
func (s *Soak) exchange(c *http.Client, r *request, method string, body []byte) {
	r.size = len(body)
	// The caller gives up lateTolerance after its deadline.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+lateTolerance)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.process.callers+"/"+r.route.name+"/7", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		r.err = err
		return
	}
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.ContentLength = int64(len(body))
	req.Host = hostName
	req.Header.Set(standin.HeaderRequestID, r.id)
	if r.credential != "" {
		req.Header.Set(headerAuthorization, r.credential)
	}
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.reused = i.Reused }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	r.at = time.Now()
	resp, err := c.Do(req)
	if err == nil {
		r.status, r.seal = resp.StatusCode, resp.Header.Get(standin.HeaderSeal)
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.body = string(raw)
	}
	r.err, r.end = err, time.Now()
	r.undisturbed = s.undisturbedDuring(r)
}

// balance picks a random host that is in rotation, or nil if there is none.
func (s *Soak) balance(rng *rand.Rand) *process {
	ready := s.rotation.Load()
	if ready == nil || len(*ready) == 0 {
		return nil
	}
	return (*ready)[rng.IntN(len(*ready))]
}

// balancer simulates the platform's balancer: it polls the readiness of all hosts and takes
// a host out of rotation after two failures in a row.
func (s *Soak) balancer(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make(map[*process]int)
	for ctx.Err() == nil {
		var in []*process
		for _, p := range s.processes {
			if p.ready(ctx, c) {
				misses[p] = 0
			} else {
				misses[p]++
			}
			if misses[p] < 2 {
				in = append(in, p)
			}
		}
		s.rotation.Store(&in)
		time.Sleep(200 * time.Millisecond)
	}
}
