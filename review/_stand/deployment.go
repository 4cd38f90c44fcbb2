package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	portFront   = "8641"
	portReady   = "8640"
	portControl = "8649"
	portStore   = "8642"
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 15 * time.Second
)

// deployment is the daemons and the store of a scenario.
type deployment struct {
	root, dir string
	// net is the prefix of the loopback addresses of this run.
	net   string
	begun time.Time

	store   *standin.Store
	server  *http.Server
	daemons []*daemon
	closers []func()

	mu      sync.Mutex
	log     *os.File
	crashes int
}

func newDeployment(root, record string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &deployment{
		root:  root,
		dir:   dir,
		net:   fmt.Sprintf("127.%d.%d.", 100+pid>>8&0x3f, pid&0xff),
		begun: time.Now(),
		store: standin.NewStore(),
		log:   log,
	}, nil
}

// record writes a line to the record, with the time since the begin.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.log, "%8.3f  %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) addr(host int, port string) string {
	return net.JoinHostPort(fmt.Sprint(d.net, host), port)
}

// serve serves a handler on an address until the end of the scenario.
func (d *deployment) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
	return nil
}

const storeHost = 2

func (d *deployment) startStore() error { return d.serve(d.addr(storeHost, portStore), d.store) }

// firstDaemonHost is the last part of the address of the first daemon.
const firstDaemonHost = 11

// startDaemons starts one daemon for each entry of zones and waits until all are ready.
func (d *deployment) startDaemons(zones []string, quotas bool) error {
	var seeds []string
	for i := range min(3, len(zones)) {
		seeds = append(seeds, d.addr(firstDaemonHost+i, portControl))
	}
	for i, zone := range zones {
		p := &daemon{d: d, name: fmt.Sprintf("edge-%s-%d", zone, i+1), host: firstDaemonHost + i}
		fields := map[string]any{
			"node_name": p.name, "zone": zone, "region": "region", "ip": fmt.Sprint(d.net, p.host),
			"bind":      map[string]any{"front": p.front(), "ready": p.addr(portReady), "control": p.addr(portControl)},
			"seeds":     seeds,
			"provider":  map[string]any{"address": d.addr(storeHost, portStore)},
			"bootstrap": true,
			"bounds": map[string]any{
				"retry_budget_ratio": 0.2, "retry_window": "10s", "retry_budget_slack": 58, "probes_per_s": 60,
			},
			"limits": map[string]any{"memory_mb": 284, "link_mbps": 1000},
			"zones":  zonesOf(zones),
		}
		if quotas {
			b := fields["bounds"].(map[string]any)
			b["quota_window"], b["quota_overshoot"], b["quota_slack"] = "5s", 0.1, 20
		}
		p.fields = fields
		d.daemons = append(d.daemons, p)
	}
	for _, p := range d.daemons {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

func zonesOf(zones []string) map[string]string {
	out := make(map[string]string)
	for _, z := range zones {
		out[z] = "region"
	}
	return out
}

func (d *deployment) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.daemons {
			if p.ready() {
				ready++
			}
		}
		if ready == len(d.daemons) {
			d.record("all %d daemons are ready", ready)
			return nil
		}
	}
	return errors.New("the daemons did not get ready")
}

func (d *deployment) close() {
	for _, p := range d.daemons {
		p.end()
	}
	for _, c := range d.closers {
		c()
	}
	_ = os.RemoveAll(d.dir)
	_ = d.log.Close()
}

// up returns the daemons whose process runs.
func (d *deployment) up() (list []*daemon) {
	for _, p := range d.daemons {
		if p.isUp() {
			list = append(list, p)
		}
	}
	return list
}

// daemon is one process of the system, which is started again whenever it ends.
type daemon struct {
	d      *deployment
	name   string
	host   int
	fields map[string]any

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    chan struct{}
	// ends counts the ends of the process that were not caused by kill or term.
	ends     int
	expected bool
	// down is how long the process stays down after its end.
	down time.Duration
}

func (p *daemon) addr(port string) string { return p.d.addr(p.host, port) }
func (p *daemon) front() string           { return p.addr(portFront) }

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	field   = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// settings renders the template of the deploy file.
func (p *daemon) settings() (string, error) {
	raw, err := os.ReadFile(filepath.Join(p.d.root, "deploy", "settings.jsonc"))
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllStringFunc(string(raw), func(s string) string {
		m := section.FindStringSubmatch(s)
		if p.lookup(m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return field.ReplaceAllStringFunc(text, func(s string) string {
		m := field.FindStringSubmatch(s)
		v := p.lookup(m[1])
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		out, _ := json.Marshal(v)
		return string(out)
	}), nil
}

func (p *daemon) lookup(path string) any {
	var v any = p.fields
	for name := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = m[name]
	}
	return v
}

func (p *daemon) start(first bool) error {
	p.fields["bootstrap"] = first
	text, err := p.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(p.d.dir, p.name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(binary(p.d.root), "serve")
	cmd.Dir = p.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.d.dir, "CACTUSPROXY_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done, p.expected = cmd, make(chan struct{}), false
	go p.supervise(cmd, p.done)
	return nil
}

// supervise starts the process again after its end.
func (p *daemon) supervise(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	stopped := p.stopped
	if !p.expected && !stopped {
		p.ends++
		p.d.record("%s ended by itself: %v", p.name, err)
	}
	close(done)
	p.mu.Unlock()
	if stopped {
		return
	}
	time.Sleep(p.restartAfter())
	if err := p.start(false); err != nil {
		p.d.record("%s did not start: %v", p.name, err)
	}
}

// restartAfter returns how long the process stays down.
func (p *daemon) restartAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(restartDelay, p.down)
}

// signal sends a signal to the process.
func (p *daemon) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// setDown sets how long the process stays down after its next end.
func (p *daemon) setDown(down time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// isStopping reports whether the process was told to end.
func (p *daemon) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expected
}

// isUp reports whether the process runs.
func (p *daemon) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// end kills the process for good.
func (p *daemon) end() {
	p.mu.Lock()
	p.stopped = true
	done := p.done
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	p.mu.Unlock()
	if done != nil {
		<-done
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		raw, _ := os.ReadFile(filepath.Join(p.d.dir, p.name+".log"))
		_ = os.WriteFile(filepath.Join(dir, p.name+".log"), raw, 0o600)
	}
}

var readyClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *daemon) ready() bool {
	resp, err := readyClient.Get("http://" + p.addr(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
