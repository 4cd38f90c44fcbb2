package main

import (
	"context"
	"fmt"
	"io/fs"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
	"github.com/cactusproxy/cactusproxy/operator"
)

// changedTimeout is the timeout of service clock after the demo's change.
const changedTimeout = 900 * time.Millisecond

// changedAuction returns the auction's workspace file with the changed timeout.
func (d *demo) changedAuction() (config.File, error) {
	name := path.Join("auction", "workspace.jsonc")
	text, err := fs.ReadFile(d.examples, name)
	if err != nil {
		return config.File{}, err
	}
	changed := strings.Replace(string(text), `"clockTimeout": "800ms"`, fmt.Sprintf(`"clockTimeout": %q`, changedTimeout), 1)
	return config.File{Name: name, Text: changed}, nil
}

func (d *demo) applyChanged(ctx context.Context, host string, base uint64) (operator.ChangeReply, error) {
	h, err := d.lab.Host(host)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	file, err := d.changedAuction()
	if err != nil {
		return operator.ChangeReply{}, err
	}
	return h.Operators().Apply(ctx, operator.ApplyRequest{
		ID: ulid.Make().String(), Who: "demo", Base: &base, Workspace: file, WaitMillis: 10_000,
	})
}

func (d *demo) change(ctx context.Context) (string, error) {
	start := time.Now()
	r, err := d.applyChanged(ctx, d.hosts[2], 1)
	if err != nil {
		return "", err
	}
	if r.Result != config.ResultApplied || r.Status == nil || !r.Status.InForce {
		return "", fmt.Errorf("result %s, problems %v", r.Result, r.Problems)
	}
	took := time.Since(start).Round(time.Millisecond)
	for _, id := range d.hosts {
		h, err := d.lab.Host(id)
		if err != nil {
			return "", err
		}
		ws, _ := h.Board().Config.Load().Workspace(auction)
		clock, ok := ws.Service("clock")
		if !ok || clock.Timeout != changedTimeout {
			return "", fmt.Errorf("%s still has the old timeout", id)
		}
	}
	return fmt.Sprintf("applied through entry-3, in force on all hosts after %s", took), nil
}

func (d *demo) conflict(ctx context.Context) (string, error) {
	r, err := d.applyChanged(ctx, d.hosts[0], 1)
	if err != nil {
		return "", err
	}
	if r.Result != config.ResultConflict || r.Conflicting == nil {
		return "", fmt.Errorf("result %s", r.Result)
	}
	return fmt.Sprintf("refused, shows the change of %s", r.Conflicting.Operator), nil
}

// slowCall is the duration of the request during which a host stops.
const slowCall = 1500 * time.Millisecond

func (d *demo) stopDuringCall(ctx context.Context) (string, error) {
	for i := range 2 {
		t, err := d.lab.Target(targetID(repairs, "workorders", i))
		if err != nil {
			return "", err
		}
		t.SetBehaviour(target.Behaviour{ServiceMean: slowCall})
	}
	third, err := d.lab.Target(targetID(repairs, "workorders", 2))
	if err != nil {
		return "", err
	}
	third.SetBehaviour(target.Behaviour{ServiceMean: slowCall})

	host := d.hosts[2]
	h, err := d.lab.Host(host)
	if err != nil {
		return "", err
	}
	answer := make(chan error, 1)
	go func() {
		r, err := d.send(ctx, host, http.MethodGet, "/"+repairs+"/workorders/12", "", "")
		if err == nil {
			err = checkOutcome(r, "answered", "ok")
		}
		answer <- err
	}()
	if err := testcluster.Wait(ctx, "the call", func() bool { return h.InFlight() == 1 }); err != nil {
		return "", err
	}
	if err := d.lab.Stop(host); err != nil {
		return "", fmt.Errorf("stop: %w", err)
	}
	if err := <-answer; err != nil {
		return "", fmt.Errorf("the call in flight: %w", err)
	}
	d.hosts = d.hosts[:2]
	return "the call got its whole answer, then the host ended without error", nil
}

func (d *demo) targetLeaves(ctx context.Context) (string, error) {
	id := targetID(auction, "catalogue", 0)
	t, err := d.lab.Target(id)
	if err != nil {
		return "", err
	}
	d.lab.MarkLeaving(id)
	for _, host := range d.hosts {
		if err := d.lab.WaitTargets(ctx, host, auction, "catalogue", 4); err != nil {
			return "", err
		}
	}
	before := len(t.Runs())
	for range 50 {
		r, err := d.send(ctx, d.hosts[0], http.MethodGet, "/"+auction+"/catalogue/lots", "", "")
		if err != nil {
			return "", err
		}
		if err := checkOutcome(r, "answered", "ok"); err != nil {
			return "", err
		}
	}
	if n := len(t.Runs()) - before; n != 0 {
		return "", fmt.Errorf("%s ran %d more calls", id, n)
	}
	return "50 calls, none reached it", nil
}
