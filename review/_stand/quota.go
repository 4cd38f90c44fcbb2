package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/platform/standin"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// quotaRate and quotaBurst are the quota of each tenant.
	quotaRate, quotaBurst = 5, 5
	quotaWindow           = 5 * time.Second
	quotaOvershoot        = 0.1
	quotaSlack            = 20
	// usualRate is what a tenant usually sends; hotFactor and hotFor are the largest dose of the
	// disruption hot_tenant in the site file.
	usualRate = quotaRate / 1.6
	hotFactor = 7.5
	hotFor    = 8 * time.Second
	// lossAt is the time from the begin of the hot tenant to the loss of power.
	lossAt = 500 * time.Millisecond
	// tenantCount is the number of tenants in the site file.
	tenantCount  = 74
	hostsPerZone = 4
	// returnStep is the time between the returns of two hosts of a zone. The last of them is back
	// within the time that the site file names for a loss of power.
	returnStep = 500 * time.Millisecond
)

var quotaZones = []string{"a", "b", "c"}

// quotaPowerLoss sends many times a tenant's usual requests and cuts the power of all hosts, which
// come back within 2 s, one after the other. The rule is QUOTA.
func quotaPowerLoss(d *deployment, trouble bool) (bool, error) {
	if err := d.startStore(); err != nil {
		return false, err
	}
	var tenants []standin.Tenant
	for i := range tenantCount {
		tenants = append(tenants, standin.Tenant{Name: fmt.Sprint("tenant-", i), Keys: []string{fmt.Sprint("key-", i)}, Rate: quotaRate, Burst: quotaBurst})
	}
	route := standin.Route{Name: "reads", Host: "h.example", Prefix: "/r/", Type: "safe", Service: "reads", Timeout: "2500ms", MaxAttempts: 2}
	d.store.Put("op", "config", standin.ConfigWithTenants(1, tenants, route))
	var backends []*backend
	for i := range 6 {
		b, err := d.startBackend(i, "reads", quotaZones[i%len(quotaZones)], 3, 6, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	var zones []string
	for range hostsPerZone {
		zones = append(zones, quotaZones...)
	}
	if err := d.startDaemons(zones, true); err != nil {
		return false, err
	}
	hot := d.tenantOfManyOwners()
	d.record("the hot tenant is tenant-%d", hot)
	c := &quotaClient{d: d, key: fmt.Sprint("key-", hot), sent: make(map[string]time.Time)}
	c.send(usualRate, 3*time.Second)
	time.AfterFunc(lossAt, func() {
		if trouble {
			d.losePower()
		}
	})
	c.send(usualRate*hotFactor, hotFor)
	c.requests.Wait()
	most := mostInWindow(c.sent, executions(backends), quotaWindow)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	d.record("at most %d requests were sent and run within %s; the rule allows %.1f", most, quotaWindow, bound)
	return float64(most) > bound, nil
}

// tenantOfManyOwners returns the tenant whose part of the quota changes hands most often while the
// hosts return in the order of their numbers: each host that returns takes it over if it ranks
// before those that are back.
func (d *deployment) tenantOfManyOwners() int {
	members := make(map[string][]blackboard.Member)
	for i, p := range d.daemons {
		zone := quotaZones[i%len(quotaZones)]
		host := ports.Host{ID: ports.HostID(p.addr(portControl)), Zone: zone}
		members[zone] = append(members[zone], blackboard.Member{Host: host, State: blackboard.MemberLive, Ready: true})
	}
	best, most := 0, -1
	for n := range tenantCount {
		owners := 0
		for zone, list := range members {
			ranked := rendezvous.TopN(fmt.Sprint("tenant-", n), zone, hostsPerZone, list)
			first := math.MaxInt
			for _, m := range list {
				if rank := slices.Index(ranked, m.Host.ID); rank < first {
					first = rank
					owners++
				}
			}
		}
		if owners > most {
			best, most = n, owners
		}
	}
	return best
}

// losePower kills all hosts. Those of a zone return returnStep apart.
func (d *deployment) losePower() {
	d.record("all hosts lose power")
	for i, p := range d.daemons {
		p.setDown(time.Duration(1+i/len(quotaZones)) * returnStep)
		p.signal(syscall.SIGKILL)
	}
}

// quotaClient sends requests of one tenant to the hosts that are up.
type quotaClient struct {
	d        *deployment
	key      string
	requests sync.WaitGroup

	mu   sync.Mutex
	sent map[string]time.Time
}

var plainClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends requests at a rate per second for some time. It does not wait for the last responses.
func (c *quotaClient) send(rate float64, d time.Duration) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		n := len(c.sent)
		id := fmt.Sprint("q-", n)
		up := c.d.up()
		if len(up) == 0 {
			c.mu.Unlock()
			continue
		}
		c.sent[id] = time.Now()
		c.mu.Unlock()
		c.requests.Go(func() { c.request(id, up[n%len(up)]) })
	}
}

func (c *quotaClient) request(id string, p *daemon) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.front()+"/r/"+id, nil)
	if err != nil {
		return
	}
	req.Host = "h.example"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "2500")
	req.Header.Set(standin.HeaderKey, c.key)
	c.d.record("sent %s to %s", id, p.name)
	resp, err := plainClient.Do(req)
	if err != nil {
		c.d.record("answered %s: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	c.d.record("answered %s: %d", id, resp.StatusCode)
}

// executions returns when each request began to run.
func executions(backends []*backend) map[string]time.Time {
	at := make(map[string]time.Time)
	for _, b := range backends {
		b.mu.Lock()
		maps.Copy(at, b.startedAt)
		b.mu.Unlock()
	}
	return at
}

// mostInWindow returns the largest number of requests that were both sent and run within one window.
func mostInWindow(sent, ran map[string]time.Time, window time.Duration) (most int) {
	for _, begin := range sent {
		n := 0
		for id, at := range ran {
			if !sent[id].Before(begin) && at.Before(begin.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
