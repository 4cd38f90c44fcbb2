package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one entry host: a real daemon, which reaches the store and is reached by its
// peers through fault proxies.
type process struct {
	name       string
	dir        string
	binary     string
	callers    string
	readiness  string
	operators  string
	peers      string
	storeProxy *FaultProxy
	peerProxy  *FaultProxy
	// source is the IP address from which the process connects to targets.
	source net.IP

	mu  sync.Mutex
	cmd *exec.Cmd
	// run counts starts. A request that spans two runs was cut off by the restart.
	run int
	// expected is set while the process is being ended, killed if by SIGKILL.
	expected bool
	killed   bool
	// killedAt is when the process last got SIGKILL.
	killedAt time.Time
	// restarting is set from the first signal that ends the process until it has been
	// started again.
	restarting bool
	exited     chan struct{}
	// disturbed is the time of the last disturbance of the process or its proxies.
	disturbed time.Time
	paused    bool
	// termAt is when the process last got SIGTERM.
	termAt time.Time
}

func newProcess(n int, dir, binary, storeAddr string, addrs *addresses) (*process, error) {
	p := &process{name: fmt.Sprintf("host-%d", n), dir: dir, binary: binary, source: sourceIP(n)}
	for _, addr := range []*string{&p.callers, &p.readiness, &p.operators, &p.peers} {
		free, err := addrs.allocate()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	var err error
	if p.storeProxy, err = NewFaultProxy(storeAddr); err != nil {
		return nil, err
	}
	p.peerProxy, err = NewFaultProxy(p.peers)
	return p, err
}

// ownIP returns a loopback address for the hosts of this run, derived from the process ID.
//
// On 127.0.0.1 another program could take a free port before the daemon listens on it.
func ownIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
}

// sourceIP returns the loopback address from which host n connects to targets. The targets see it.
func sourceIP(n int) net.IP {
	ip := net.ParseIP(ownIP()).To4()
	ip[1] = byte(129 + n%125) // the other addresses of a run are below
	return ip
}

// addresses allocates listen addresses to the processes of a run.
type addresses struct {
	ip        string
	allocated map[string]bool
}

func newAddresses() *addresses { return &addresses{ip: ownIP(), allocated: make(map[string]bool)} }

// allocate returns a free address that it has not returned before.
//
// An address stays free until a process listens on it, so that the kernel may offer it
// more than once.
func (a *addresses) allocate() (string, error) {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(a.ip, "0"))
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !a.allocated[addr] {
			a.allocated[addr] = true
			return addr, nil
		}
	}
}

// writeSettings writes the settings file of a process.
func (p *process) writeSettings(seeds []string, first bool) error {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(`{
	"host": {"id": %q, "zone": "a"},
	"callers": {"addr": %q}, "readiness": {"addr": %q}, "operators": {"addr": %q},
	"peers": {"addr": %q, "advertise": %q, "seeds": [%s]},
	"directory": {"store": %q, "firstStart": %t},
	"retries": {"ratio": 0.2, "window": "10s", "reserve": 60},
	"measuring": {"perTarget": 60},
	"targets": {"sourceAddr": %q},
	"drain": {"notice": "700ms", "limit": "5s"},
}`, p.name, p.callers, p.readiness, p.operators, p.peers, p.peerProxy.Addr(), strings.Join(quoted, ","), p.storeProxy.Addr(), first, p.source)
	return os.WriteFile(p.settings(), []byte(text), 0o600)
}

func (p *process) settings() string { return filepath.Join(p.dir, p.name+".jsonc") }

// start starts the process; its log is appended to a file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "serve", p.settings())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.expected, p.killed, p.run = cmd, exited, false, false, p.run+1
	p.disturbed = time.Now()
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may just have ended
	}
}

// end ends the process with a signal and waits for it. It kills a process that has not
// ended after endTimeout.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.expected = true
	p.disturbed = time.Now()
	p.killed = s == syscall.SIGKILL
	if p.killed {
		p.killedAt = p.disturbed
	}
	if s == syscall.SIGTERM {
		p.termAt = time.Now()
	}
	exited := p.exited
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-exited:
	case <-time.After(endTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// restart ends the process with a signal and starts it again. If a restart is already in
// progress it only sends the signal: starting the process twice would leave two processes
// that compete for the same addresses.
func (p *process) restart(ctx context.Context, s syscall.Signal) {
	p.mu.Lock()
	if p.restarting {
		p.killed = p.killed || s == syscall.SIGKILL
		p.disturbed = time.Now()
		if s == syscall.SIGKILL {
			p.killedAt = p.disturbed
		}
		p.mu.Unlock()
		p.signal(s)
		return
	}
	p.restarting = true
	p.mu.Unlock()
	p.end(s)
	if ctx.Err() == nil {
		_ = p.start() // on failure the run continues without this host
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarting = false
}

// endTimeout is the time from SIGTERM to SIGKILL.
const endTimeout = 6 * time.Second

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	const size = 400
	text, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-size):])
}

// exitedUnexpectedly reports whether the process ended although the soak did not end it.
func (p *process) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.expected
	default:
		return false
	}
}

// markDisturbed records that the process, or one of its proxies, is disturbed now.
func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
}

// undisturbedSince reports whether the process has not been disturbed since t.
func (p *process) undisturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && p.disturbed.Before(t)
}

func (p *process) generation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

// ready polls the readiness endpoint, as the platform's balancer does.
func (p *process) ready(ctx context.Context, c *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.readiness+"/-/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
