package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pathCut is a time in which some hosts reached no target, while callers, the store and the other
// hosts reached them.
type pathCut struct {
	hosts    []*process
	from, to time.Time
}

const (
	// noticeTime is how long hosts may take to find other paths once they are cut off.
	noticeTime = time.Second
	// minShare is the share of the rate at which other hosts serve first tries that cut hosts
	// must reach, and lostTries plus lostShare of all tries is how many may fail in any case.
	minShare  = 2.0 / 3
	lostTries = 10
	lostShare = 1.0 / 50
)

// cutPaths cuts some hosts off from all targets for a while: their packets are lost, also on open
// connections, or these are reset at first. Other disturbances go on.
func (s *Soak) cutPaths(ctx context.Context, rng *rand.Rand) string {
	hosts := slices.Clone(s.processes)
	rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:1+rng.IntN(len(hosts)-1)]
	reset, lasts := rng.IntN(2) == 0, 2*time.Second+randomDuration(rng)
	var names []string
	var sources []net.IP
	for _, p := range hosts {
		names = append(names, p.name)
		sources = append(sources, p.source)
	}
	s.targets.loseFrom(sources)
	if reset {
		for _, b := range s.targets.all() {
			b.proxy.ResetFrom(sources)
		}
	}
	cut := pathCut{hosts: hosts, from: time.Now()}
	sleep(ctx, lasts)
	cut.to = time.Now()
	s.targets.loseFrom(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = append(s.cuts, cut)
	return fmt.Sprintf("for %s, reset %t: %s", lasts, reset, strings.Join(names, " "))
}

// checkCuts reports hosts that served far fewer requests than the others because they were cut off
// from all targets.
func (s *Soak) checkCuts() {
	for _, c := range s.cuts {
		var cut, others tally
		for _, r := range s.requests {
			if r.at.Before(c.from.Add(noticeTime)) || r.end.After(c.to) || s.otherwiseDisturbed(r.process, r) {
				continue
			}
			if slices.Contains(c.hosts, r.process) {
				cut.add(r)
			} else {
				others.add(r)
			}
		}
		lost := float64(cut.sent - cut.served)
		if cut.rate() < minShare*others.rate() && lost > lostTries+lostShare*float64(cut.sent+others.sent) {
			s.reportViolation("cut off from all targets at %s: %d of %d served, by the others %d of %d; lost: %s",
				c.from.Sub(s.start).Round(time.Millisecond), cut.served, cut.sent, others.served, others.sent, cut.describeLost())
		}
	}
}

// tally counts requests and those that were served.
type tally struct {
	sent, served int
	lost         []*request
}

func (t *tally) add(r *request) {
	t.sent++
	if r.status == http.StatusOK {
		t.served++
		return
	}
	t.lost = append(t.lost, r)
}

// describeLost lists the requests that were not served, by which the logs of their hosts are searched.
func (t *tally) describeLost() string {
	var list []string
	for _, r := range t.lost {
		list = append(list, fmt.Sprintf("%s %s %d after %s", r.id, r.process.name, r.status, r.end.Sub(r.at).Round(time.Millisecond)))
	}
	return strings.Join(list, ", ")
}

func (t *tally) rate() float64 { return float64(t.served) / max(1, float64(t.sent)) }

// loseFrom makes all targets, also those that start later, lose all packets from these addresses
// and no others.
func (t *targetSet) loseFrom(sources []net.IP) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachableFrom = sources
	for _, b := range t.list {
		b.proxy.LoseFrom(sources)
	}
}

// LoseFrom makes the kernel drop all packets from these addresses and no others, on the listener
// and on open connections.
func (p *FaultProxy) LoseFrom(sources []net.IP) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachableFrom = sources
	setFilter(p.listener.(*net.TCPListener), sources)
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			setFilter(tcp, sources)
		}
	}
}

// ResetFrom resets the open connections from these addresses.
func (p *FaultProxy) ResetFrom(sources []net.IP) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		addr := c.RemoteAddr().(*net.TCPAddr)
		if slices.ContainsFunc(sources, addr.IP.Equal) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

// Offsets and return values of packet filters.
const (
	offNetworkHeader = 0xfff00000 // SKF_NET_OFF
	offSourceIP      = offNetworkHeader + 12
	keepWhole        = 0xffffffff
	jumpEqual        = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	loadWord         = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	returnValue      = unix.BPF_RET | unix.BPF_K
)

// setFilter attaches a filter to a socket that drops packets from these addresses.
func setFilter(c syscall.Conn, sources []net.IP) {
	prog := []unix.SockFilter{{Code: loadWord, K: offSourceIP}}
	for i, ip := range sources {
		v4 := ip.To4()
		value := uint32(v4[0])<<24 | uint32(v4[1])<<16 | uint32(v4[2])<<8 | uint32(v4[3])
		prog = append(prog, unix.SockFilter{Code: jumpEqual, Jt: uint8(len(sources) - i), K: value})
	}
	prog = append(prog, unix.SockFilter{Code: returnValue, K: keepWhole}, unix.SockFilter{Code: returnValue})
	raw, err := c.SyscallConn()
	if err != nil {
		return // closed meanwhile
	}
	_ = raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(prog)), Filter: &prog[0]})
	})
	if err != nil {
		panic(err) // the soak would check nothing
	}
}
