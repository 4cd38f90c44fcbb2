package main

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"path"
	"time"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
)

// Workspaces of the two example deployments.
const (
	auction = "subasta-verde"
	repairs = "leigjendur"
)

// demo runs the steps against a deployment in this process.
type demo struct {
	lab      *testcluster.Cluster
	examples fs.FS
	out      io.Writer
	hosts    []string
}

// step is one demonstrated behavior. Its run returns what was observed, or an error if
// that was not as expected.
type step struct {
	name string
	run  func(context.Context) (seen string, err error)
}

func (d *demo) run(ctx context.Context) bool {
	steps := []step{
		{"three hosts in three zones see each other", d.startHosts},
		{"the declarations of both deployments are in force", d.applyBoth},
		{"targets of both deployments are known", d.startTargets},
		{"an importer browses lots", d.browse},
		{"a purchase sent twice with one key runs once", d.purchaseTwice},
		{"the same key for another purchase is refused", d.purchaseOther},
		{"a purchase while the table is out, with an issued key", d.purchaseDuringOutage},
		{"a caretaker uploads a photo", d.upload},
		{"a change of configuration holds on every host", d.change},
		{"a change against an old version is a conflict", d.conflict},
		{"a host stops while a call is in flight", d.stopDuringCall},
		{"a target leaves and gets no new call", d.targetLeaves},
		{"a zone is emptied and taken back", d.evacuateZones},
	}
	ok := true
	for i, s := range steps {
		start := time.Now()
		observed, err := s.run(ctx)
		took := time.Since(start).Round(time.Millisecond)
		if err != nil {
			fmt.Fprintf(d.out, "FAIL %2d %s: %v (%s)\n", i+1, s.name, err, took)
			ok = false
			continue
		}
		fmt.Fprintf(d.out, "ok   %2d %s: %s (%s)\n", i+1, s.name, observed, took)
	}
	return ok
}

func (d *demo) startHosts(ctx context.Context) (string, error) {
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		id := fmt.Sprintf("entry-%d", i+1)
		if _, err := d.lab.AddHost(id, zone); err != nil {
			return "", err
		}
		d.hosts = append(d.hosts, id)
	}
	for _, id := range d.hosts {
		if err := d.lab.WaitReady(ctx, id); err != nil {
			return "", err
		}
		if err := d.lab.WaitMembers(ctx, id, len(d.hosts)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d hosts ready", len(d.hosts)), nil
}

func (d *demo) applyBoth(ctx context.Context) (string, error) {
	for _, name := range []string{"auction", "repairs"} {
		r, err := d.lab.ApplyFS(ctx, d.hosts[0], d.examples, path.Join(name, "template.jsonc"), path.Join(name, "workspace.jsonc"))
		if err != nil {
			return "", err
		}
		if r.Result != config.ResultApplied || r.Status == nil || !r.Status.InForce {
			return "", fmt.Errorf("%s: result %s, problems %v", name, r.Result, r.Problems)
		}
	}
	return "both applied through entry-1, in force on all hosts", nil
}

// demoServices lists the services of the demo, with the number of targets of each and
// the slots of a target: a third of the size of the deployments that they model.
var demoServices = []struct {
	workspace, service string
	targets, slots     int
}{
	{auction, "catalogue", 5, 2},
	{auction, "clock", 5, 2},
	{auction, "settlement", 3, 2},
	{auction, "photos", 2, 2},
	{auction, "bids", 2, 2},
	{repairs, "status", 5, 4},
	{repairs, "workorders", 3, 4},
	{repairs, "photos", 2, 4},
	{repairs, "bookings", 2, 4},
}

func (d *demo) startTargets(ctx context.Context) (string, error) {
	total := 0
	for _, f := range demoServices {
		for i := range f.targets {
			zone := "zone-" + string(rune('a'+i%3))
			_, err := d.lab.AddTarget(targetID(f.workspace, f.service, i), zone, f.workspace, f.service, target.Options{
				Slots:     f.slots,
				Queue:     16,
				MaxConns:  200,
				Seed:      uint64(total),
				Behaviour: target.Behaviour{ServiceMean: 5 * time.Millisecond, ServiceSigma: 0.8},
			})
			if err != nil {
				return "", err
			}
			total++
		}
	}
	for _, host := range d.hosts {
		for _, f := range demoServices {
			if err := d.lab.WaitTargets(ctx, host, f.workspace, f.service, f.targets); err != nil {
				return "", err
			}
		}
	}
	return fmt.Sprintf("%d targets known to every host", total), nil
}

func targetID(workspace, service string, i int) string {
	return fmt.Sprintf("%s-%s-%d", workspace, service, i+1)
}
