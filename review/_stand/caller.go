package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	// callerCount is the number of tenants that read the same path. The requests of poisonCaller crash
	// the backends that run them.
	callerCount  = 20
	poisonCaller = "tenant-7"
	// envAuthorization names callers in the Authorization header, in a configuration without tenants.
	envAuthorization = "AUTHORIZATION"
	readEvery        = 10 * time.Millisecond
	readDeadline     = "1200"
	readPath         = "/r/account"
)

func callerName(n int) string { return fmt.Sprint("tenant-", n) }

// keyOf returns what a caller sends to be known as such.
func keyOf(caller string) string { return "key-of-" + caller }

// poisonOfOneCaller lets callers read the same path, where the requests of one caller crash their
// backends. The rule is BUDGET.
func poisonOfOneCaller(d *deployment, trouble bool) (bool, error) {
	if err := d.startStore(); err != nil {
		return false, err
	}
	route := standin.Route{Name: "reads", Host: "h.example", Prefix: "/r/", Type: "safe", Service: "reads", Timeout: "1200ms", MaxAttempts: 2}
	var tenants []standin.Tenant
	for n := range callerCount {
		tenants = append(tenants, standin.Tenant{Name: callerName(n), Keys: []string{keyOf(callerName(n))}})
	}
	if os.Getenv(envAuthorization) == "" {
		d.store.Put("op", "config", standin.ConfigWithTenants(1, tenants, route))
	} else {
		d.store.Put("op", "config", standin.Config(1, route))
	}
	zones := []string{"a", "b", "c"}
	for i := range 17 {
		if _, err := d.startBackend(i, "reads", zones[i%3], 4, 16, 63*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons([]string{"a", "b", "c", "a", "b", "c"}, false); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var reads sync.WaitGroup
	var served, other atomic.Int64
	reads.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			caller := callerName(n % callerCount)
			if caller != poisonCaller {
				reads.Go(func() {
					if d.read(d.daemons[n%len(d.daemons)], fmt.Sprint("read-", n), caller) == http.StatusOK {
						served.Add(1)
					} else {
						other.Add(1)
					}
				})
			}
			time.Sleep(readEvery)
		}
	})
	time.Sleep(warmUp)
	p := &poison{d: d}
	for end := time.Now().Add(poisonFor); time.Now().Before(end); time.Sleep(poisonEvery) {
		if trouble {
			p.sendRead(d.daemons[p.sends%len(d.daemons)])
		}
	}
	stop()
	reads.Wait()
	late := p.lateRetries()
	d.record("innocent reads: %d served, %d ended otherwise", served.Load(), other.Load())
	d.record("%d sends, %d crashes; %d retries reached a backend later than %s after the third; the rule allows %d",
		p.sends, d.crashCount(), late, stable, allowedRetries)
	return late > allowedRetries, nil
}

// sendRead is send for a read of poisonCaller.
func (p *poison) sendRead(host *daemon) {
	p.sends++
	before := p.d.crashCount()
	id, at := fmt.Sprint("poison-", p.sends), time.Now()
	status := p.d.read(host, id, poisonCaller)
	crashes := p.d.crashCount() - before
	p.d.record("%s to %s: %d, backends crashed: %d", id, host.name, status, crashes)
	if crashes > 0 {
		p.reached = append(p.reached, at)
	}
}

// read reads readPath for a caller and returns the status, or 0 without a response.
func (d *deployment) read(host *daemon, id, caller string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+host.front()+readPath, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, readDeadline)
	if os.Getenv(envAuthorization) == "" {
		req.Header.Set(standin.HeaderKey, keyOf(caller))
	} else {
		req.Header.Set("Authorization", keyOf(caller))
	}
	d.record("sent %s to %s", id, host.name)
	resp, err := plainClient.Do(req)
	if err != nil {
		d.record("answered %s: %v", id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	d.record("answered %s: %d", id, resp.StatusCode)
	return resp.StatusCode
}
