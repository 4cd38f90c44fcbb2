package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	// poisonUploadBytes is the size of the upload that crashes backends. It is far below the
	// max_body_bytes of the users' example.
	poisonUploadBytes = 1500 << 10
	// minUploadBytes and maxUploadBytes bound the size of innocent uploads.
	minUploadBytes = 1200 << 10
	maxUploadBytes = 1800 << 10
	uploadEvery    = 50 * time.Millisecond
	poisonEvery    = time.Second
	poisonFor      = 25 * time.Second
	uploadDeadline = "2000"
	uploadWork     = 76 * time.Millisecond
	// warmUp is how long innocent uploads come before the other one.
	warmUp = 4 * time.Second
)

// Variables of the environment that vary poisonLargeUpload.
const (
	// envPoisonBytes sets the size of the upload that crashes backends.
	envPoisonBytes = "POISON_BYTES"
	// envSized sends all uploads with one size and a Content-Length instead of in chunks.
	envSized = "SIZED"
	// envPoisonFirst sends innocent uploads only once the other one was sent poisonFirst times and is
	// sent no more.
	envPoisonFirst = "POISON_FIRST"
	// envWork sets how long backends work on an upload, in milliseconds.
	envWork = "WORK_MS"
)

// poisonFirst is how often the upload that crashes backends is sent with envPoisonFirst.
const poisonFirst = 6

// poisonLargeUpload sends a large upload that crashes its backends once a second, beside innocent
// uploads to the same path. All come in chunks. The rule is BUDGET.
func poisonLargeUpload(d *deployment, trouble bool) (bool, error) {
	if err := d.startStore(); err != nil {
		return false, err
	}
	route := standin.Route{Name: "photos", Host: "h.example", Prefix: "/u/", Type: "upload", Service: "photos", Timeout: "2000ms", MaxAttempts: 2}
	d.store.Put("op", "config", standin.Config(1, route))
	zones := []string{"a", "b", "c"}
	work := uploadWork
	if ms, err := strconv.Atoi(os.Getenv(envWork)); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	for i := range 9 {
		if _, err := d.startBackend(i, "photos", zones[i%3], 4, 16, work); err != nil {
			return false, err
		}
	}
	if err := d.startDaemons([]string{"a", "b", "c", "a", "b", "c"}, false); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var uploads sync.WaitGroup
	var served, lost, refused atomic.Int64
	uploads.Go(func() {
		if os.Getenv(envPoisonFirst) != "" {
			time.Sleep(warmUp + 2*poisonFirst*poisonEvery)
		}
		for n := 0; ctx.Err() == nil; n++ {
			host := d.daemons[n%len(d.daemons)]
			uploads.Go(func() {
				size := minUploadBytes + rand.IntN(maxUploadBytes-minUploadBytes)
				if os.Getenv(envSized) != "" {
					size = poisonUploadBytes
				}
				switch status := d.upload(host, fmt.Sprint("photo-", n), photo(fmt.Sprint("photo-", n), size)); status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					lost.Add(1)
				}
			})
			time.Sleep(uploadEvery)
		}
	})
	time.Sleep(warmUp)
	p := &poison{d: d}
	size := poisonUploadBytes
	if n, err := strconv.Atoi(os.Getenv(envPoisonBytes)); err == nil {
		size = n
	}
	for end := time.Now().Add(poisonFor); time.Now().Before(end); {
		if trouble && (p.sends < poisonFirst || os.Getenv(envPoisonFirst) == "") {
			p.sendUpload(d.daemons[p.sends%len(d.daemons)], photo(poisonMark, size))
		}
		time.Sleep(poisonEvery)
	}
	stop()
	uploads.Wait()
	late := p.lateRetries()
	d.record("innocent uploads: %d served, %d refused, %d ended otherwise", served.Load(), refused.Load(), lost.Load())
	d.record("%d sends, %d crashes; %d retries reached a backend later than %s after the third; the rule allows %d",
		p.sends, d.crashCount(), late, stable, allowedRetries)
	return late > allowedRetries, nil
}

// sendUpload is send for an upload.
func (p *poison) sendUpload(host *daemon, body []byte) {
	p.sends++
	before := p.d.crashCount()
	id, at := fmt.Sprint("poison-", p.sends), time.Now()
	status := p.d.upload(host, id, body)
	crashed := p.d.crashCount() > before
	p.d.record("%s to %s: %d, reached a backend: %t", id, host.name, status, crashed)
	if crashed {
		p.reached = append(p.reached, at)
	}
}

// photo returns a body that begins with a mark.
func photo(mark string, size int) []byte {
	b := bytes.Repeat([]byte{'.'}, size)
	copy(b, mark)
	return b
}

// upload sends an upload, in chunks unless envSized is set, and returns the status, or 0 without a response.
func (d *deployment) upload(host *daemon, id string, body []byte) int {
	// The wrapper hides the length, so that the body is sent in chunks.
	chunks := struct{ io.Reader }{bytes.NewReader(body)}
	req, err := http.NewRequest(http.MethodPost, "http://"+host.front()+"/u/photos", chunks)
	if err != nil {
		return 0
	}
	if os.Getenv(envSized) != "" {
		req.ContentLength = int64(len(body))
	}
	req.Host = "h.example"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, uploadDeadline)
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
