package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/cactusproxy/cactusproxy/internal/standin/platform"
	"github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/internal/testcluster"
)

// send sends a request through a host, with an idempotency key unless key is empty.
func (d *demo) send(ctx context.Context, host, method, path, key, body string) (testcluster.Response, error) {
	h, err := d.lab.Host(host)
	if err != nil {
		return testcluster.Response{}, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.CallersAddr()+path, strings.NewReader(body))
	if err != nil {
		return testcluster.Response{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return testcluster.Do(http.DefaultClient, req)
}

// checkOutcome returns an error unless the response has this outcome and reason.
func checkOutcome(r testcluster.Response, outcome, reason string) error {
	if r.Outcome != outcome || r.Reason != reason {
		return fmt.Errorf("want %s/%s, have %s/%s with status %d", outcome, reason, r.Outcome, r.Reason, r.Status)
	}
	return nil
}

func (d *demo) browse(ctx context.Context) (string, error) {
	for _, host := range d.hosts {
		r, err := d.send(ctx, host, http.MethodGet, "/"+auction+"/catalogue/lots", "", "")
		if err != nil {
			return "", err
		}
		if err := checkOutcome(r, "answered", "ok"); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("answered through each of %d hosts", len(d.hosts)), nil
}

// runs returns how often the targets of a service executed requests with a key.
func (d *demo) runs(workspace, service, key string) int {
	n := 0
	for _, f := range demoServices {
		if f.workspace != workspace || f.service != service {
			continue
		}
		for i := range f.targets {
			t, err := d.lab.Target(targetID(workspace, service, i))
			if err != nil {
				continue
			}
			n += countKey(t.Runs(), key)
		}
	}
	return n
}

func countKey(runs []target.Run, key string) int {
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

const purchasePath = "/" + auction + "/settlement/purchases"

// purchaseKey is the idempotency key shared by two steps.
var purchaseKey = ulid.Make().String()

func (d *demo) purchaseTwice(ctx context.Context) (string, error) {
	first, err := d.send(ctx, d.hosts[0], http.MethodPost, purchasePath, purchaseKey, "lot 7")
	if err != nil {
		return "", err
	}
	if err := checkOutcome(first, "answered", "ok"); err != nil {
		return "", err
	}
	again, err := d.retryPurchase(ctx, d.hosts[1], purchaseKey, "lot 7")
	if err != nil {
		return "", err
	}
	if again.Body != first.Body {
		return "", fmt.Errorf("the second answer differs from the first")
	}
	if n := d.runs(auction, "settlement", purchaseKey); n != 1 {
		return "", fmt.Errorf("ran %d times", n)
	}
	return "second send through another host got the stored answer, one run at the targets", nil
}

// retryPurchase repeats a purchase until it gets the stored response, as a caller does
// if the first request is still in progress.
func (d *demo) retryPurchase(ctx context.Context, host, key, body string) (testcluster.Response, error) {
	for {
		r, err := d.send(ctx, host, http.MethodPost, purchasePath, key, body)
		if err != nil {
			return r, err
		}
		if r.Reason != "key-in-progress" {
			return r, checkOutcome(r, "answered", "stored-answer")
		}
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (d *demo) purchaseOther(ctx context.Context) (string, error) {
	r, err := d.send(ctx, d.hosts[2], http.MethodPost, purchasePath, purchaseKey, "lot 8")
	if err != nil {
		return "", err
	}
	if err := checkOutcome(r, "unknown", "key-mismatch"); err != nil {
		return "", err
	}
	return "told unknown, key-mismatch; nothing ran", nil
}

func (d *demo) purchaseDuringOutage(ctx context.Context) (string, error) {
	d.lab.Platform.SetFaults(platform.Faults{Down: true})
	defer d.lab.Platform.SetFaults(platform.Faults{})
	key, err := d.issueKey(ctx)
	if err != nil {
		return "", err
	}
	// Use a different host than the one that issued the key.
	r, err := d.send(ctx, d.hosts[1], http.MethodPost, purchasePath, key, "lot 9")
	if err != nil {
		return "", err
	}
	if err := checkOutcome(r, "answered", "ok"); err != nil {
		return "", err
	}
	if n := d.runs(auction, "settlement", key); n != 1 {
		return "", fmt.Errorf("ran %d times", n)
	}
	return "answered, one run, the table never asked", nil
}

func (d *demo) issueKey(ctx context.Context) (string, error) {
	r, err := d.send(ctx, d.hosts[0], http.MethodPost, "/.cactusproxy/keys/"+auction+"/settlement", "", "")
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusCreated {
		return "", fmt.Errorf("no key: status %d, %s", r.Status, r.Body)
	}
	return strings.TrimSpace(r.Body), nil
}

// photoSize, in bytes, is more than hosts buffer in memory, so that the upload is
// streamed.
const photoSize = 8 << 20

func (d *demo) upload(ctx context.Context) (string, error) {
	r, err := d.send(ctx, d.hosts[1], http.MethodPut, "/"+repairs+"/photos/leak.jpg", "", strings.Repeat("x", photoSize))
	if err != nil {
		return "", err
	}
	if err := checkOutcome(r, "answered", "ok"); err != nil {
		return "", err
	}
	for i := range 2 {
		t, err := d.lab.Target(targetID(repairs, "photos", i))
		if err != nil {
			return "", err
		}
		for _, run := range t.Runs() {
			if run.BodyBytes == photoSize {
				return fmt.Sprintf("%d MiB arrived whole", photoSize>>20), nil
			}
		}
	}
	return "", fmt.Errorf("no target has the whole photo")
}
