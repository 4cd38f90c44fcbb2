package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	// stable is the span for which a machine must have been calm to be in touch.
	stable = 3 * time.Second
	// allowedRetries is how many retries may reach backends after the third crash.
	allowedRetries = 3
	poisonHosts    = 7
	// crashesUntilKnown is how many crashes there may be until the request counts as known.
	crashesUntilKnown = 3
	restartTimeout    = 12 * time.Second
	// innocentDrain is how long the last innocent requests may take.
	innocentDrain = 2 * time.Second
)

// poisonAfterRestarts sends a request that crashes its backends until all hosts refuse it, stops the
// hosts in turn, and sends the request again through each host once that is in touch. The rule is
// BUDGET.
func poisonAfterRestarts(d *deployment, trouble bool) (bool, error) {
	if err := d.startStore(); err != nil {
		return false, err
	}
	route := standin.Route{Name: "orders", Host: "h.example", Prefix: "/o/", Type: "mutating", Service: "orders", Timeout: "1500ms", MaxAttempts: 2}
	d.store.Put("op", "config", standin.Config(1, route))
	zones := []string{"a", "b", "c"}
	for i := range 9 {
		if _, err := d.startBackend(i, "orders", zones[i%3], 4, 16, 83*time.Millisecond); err != nil {
			return false, err
		}
	}
	var hostZones []string
	for i := range poisonHosts {
		hostZones = append(hostZones, zones[i%3])
	}
	if err := d.startDaemons(hostZones, false); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.sendOrders(ctx)
	time.Sleep(4 * time.Second)
	p := &poison{d: d}
	for i, sent := 0, 0; sent < poisonHosts; i++ {
		if p.send(d.daemons[i%poisonHosts]) {
			sent = 0
		} else {
			sent++ // the hosts that refused it one after the other
		}
		time.Sleep(time.Second)
		if i > 3*poisonHosts {
			d.record("the request is never refused by all hosts")
			break
		}
	}
	d.record("all hosts refuse the request after %d crashes", d.crashCount())
	for _, host := range d.daemons {
		if trouble {
			if err := host.restartPlanned(); err != nil {
				return false, err
			}
		}
		time.Sleep(stable + 300*time.Millisecond)
		p.send(host)
	}
	stop()
	time.Sleep(innocentDrain)
	late := p.lateRetries()
	d.record("%d crashes; %d retries reached a backend later than %s after the third, through hosts in touch; the rule allows %d",
		d.crashCount(), late, stable, allowedRetries)
	return late > allowedRetries, nil
}

// poison is a request that crashes each backend that begins to run it, and that comes again.
type poison struct {
	d     *deployment
	sends int
	// reached holds when each retry was sent that reached a backend.
	reached []time.Time
}

// send sends the request once and reports whether a backend began to run it.
func (p *poison) send(host *daemon) bool {
	p.sends++
	before := p.d.crashCount()
	id, at := fmt.Sprint("poison-", p.sends), time.Now()
	status, err := p.d.post(host, "/o/poison", id, "poison")
	crashed := p.d.crashCount() > before
	p.d.record("%s to %s: %d %v, reached a backend: %t", id, host.name, status, err, crashed)
	if crashed {
		p.reached = append(p.reached, at)
	}
	return crashed
}

// lateRetries returns how many retries reached a backend that were sent later than stable after the
// third crash.
func (p *poison) lateRetries() (n int) {
	if len(p.reached) < crashesUntilKnown {
		return 0
	}
	third := p.reached[crashesUntilKnown-1]
	for _, at := range p.reached {
		if at.After(third.Add(stable)) {
			n++
		}
	}
	return n
}

func (d *deployment) post(host *daemon, path, id, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+host.front()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "1500")
	resp, err := plainClient.Do(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// sendOrders sends innocent requests, each with a body of its own, to all hosts that are ready.
func (d *deployment) sendOrders(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		host := d.daemons[n%len(d.daemons)]
		if !host.isUp() || host.isStopping() {
			continue
		}
		id := fmt.Sprint("order-", n)
		go func() {
			status, err := d.post(host, "/o/"+id, id, id)
			if status != http.StatusOK {
				d.record("%s to %s: %d %v", id, host.name, status, err)
			}
		}()
	}
}

// restartPlanned stops the host with SIGTERM and waits until it is ready again.
func (p *daemon) restartPlanned() error {
	p.d.record("SIGTERM to %s", p.name)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(restartTimeout):
		return fmt.Errorf("%s did not stop", p.name)
	}
	for end := time.Now().Add(restartTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.isUp() && p.ready() {
			p.d.record("%s is ready again", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not get ready", p.name)
}
