package loopback

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/bench/confignet"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	workspace            = "bench"
	service              = "s0"
	slots                = 16
	servicesPerWorkspace = 5
)

// bench is a deployment under load.
type bench struct {
	opts   Options
	lab    *testcluster.Cluster
	client *http.Client

	hosts   []string // URLs of the service through the hosts
	targets []string // URLs of the targets
	next    atomic.Uint64
}

func newBench(ctx context.Context, o Options) (*bench, error) {
	l, err := testcluster.New(testcluster.Options{})
	if err != nil {
		return nil, err
	}
	b := &bench{opts: o, lab: l, client: newClient(o.Callers)}
	for _, step := range []func(context.Context) error{b.startHosts, b.applyConfig, b.startTargets} {
		if err := step(ctx); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

func newClient(callers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * callers}}
}

func (b *bench) close() {
	b.client.CloseIdleConnections()
	b.lab.Close()
}

func (b *bench) directURL() string {
	return b.targets[b.next.Add(1)%uint64(len(b.targets))]
}

func (b *bench) hostURL() string {
	return b.hosts[b.next.Add(1)%uint64(len(b.hosts))]
}

func (b *bench) startHosts(ctx context.Context) error {
	for i := range b.opts.Hosts {
		h, err := b.lab.AddHost(hostID(i), "zone-a")
		if err != nil {
			return err
		}
		b.hosts = append(b.hosts, fmt.Sprintf("http://%s/%s/%s/x", h.CallersAddr(), workspace, service))
	}
	for i := range b.opts.Hosts {
		if err := b.lab.WaitMembers(ctx, hostID(i), b.opts.Hosts); err != nil {
			return err
		}
		if err := b.lab.WaitReady(ctx, hostID(i)); err != nil {
			return err
		}
	}
	return nil
}

func hostID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// applyConfig applies the workspace that receives the calls and the idle ones.
func (b *bench) applyConfig(ctx context.Context) error {
	names := []string{workspace}
	for i := range b.opts.Services / servicesPerWorkspace {
		names = append(names, idleWorkspace(i))
	}
	for _, name := range names {
		r, err := b.lab.ApplyText(ctx, hostID(0), *confignet.Template(), confignet.Workspace(name, 100_000), nil)
		if err != nil {
			return err
		}
		if r.Result != config.ResultApplied {
			return errors.Newf("workspace %s: %s", name, r.Result)
		}
	}
	return nil
}

func idleWorkspace(i int) string { return fmt.Sprintf("other-%d", i) }

func (b *bench) startTargets(ctx context.Context) error {
	if b.opts.Listed > 0 {
		b.lab.ListTargets(b.idleTargets())
	}
	for i := range b.opts.Targets {
		t, err := b.lab.AddTarget(fmt.Sprintf("t-%d", i), "zone-a", workspace, service, target.Options{Slots: slots, Queue: 1000})
		if err != nil {
			return err
		}
		b.targets = append(b.targets, "http://"+t.Addr+"/x")
	}
	for i := range b.opts.Hosts {
		if err := b.lab.WaitTargets(ctx, hostID(i), workspace, service, b.opts.Targets); err != nil {
			return err
		}
	}
	return nil
}

// idleTargets returns target list entries of the services that receive no calls.
func (b *bench) idleTargets() []ports.Host {
	workspaces := max(1, b.opts.Services/servicesPerWorkspace)
	out := make([]ports.Host, b.opts.Listed)
	for i := range out {
		out[i] = ports.Host{
			ID: ports.HostID(fmt.Sprintf("other-%d", i)), Role: ports.RoleTarget, State: ports.HostLive,
			Zone: "zone-b", Addr: "127.0.0.1:1",
			Workspace: idleWorkspace(i % workspaces),
			Service:   fmt.Sprintf("s%d", i/workspaces%servicesPerWorkspace),
		}
	}
	return out
}
