package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusproxy/cactusproxy/platform"
	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	// crowdSize is the number of connections of a crowd that are open at the same time.
	crowdSize = 600
	// crowdTries is how often a member of a crowd connects again after its connection was closed.
	crowdTries = 3
	// crowdTime bounds how long a crowd sends.
	crowdTime = 3 * time.Second
	// smallField is a header field in as few bytes as its name allows.
	smallField = "%s:\r\n"
)

// door is a place to which clients can send requests.
type door struct {
	path     string
	listener listener
}

// listener is one of the addresses of a host.
type listener uint8

const (
	forCallers listener = iota
	// forBalancer is the listener of the platform's load balancer.
	forBalancer
	forOperators
)

// doors are all doors of a host, by what is behind them.
var doors = map[string][]door{
	"routes":    {{path: "/lots/1"}, {path: "/bids/1"}, {path: "/files/1"}},
	"no route":  {{path: "/nowhere/1"}, {path: platform.ReadyPath}},
	"readiness": {{path: platform.ReadyPath, listener: forBalancer}},
}

// member is one connection of a crowd.
type member struct {
	net.Conn
	door door
	// number counts the connections of a crowd.
	number int64
	// until is when the member stops sending.
	until time.Time
}

// head returns the header of a request up to its last line. more holds further lines.
func (m *member) head(method, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: m%d\r\n%s", method, m.door.path, crowdHostName, standin.HeaderRequestID, m.number, more)
}

// write sends text and reports whether the connection is still open.
func (m *member) write(text string) bool {
	_, err := io.WriteString(m.Conn, text)
	return err == nil
}

// slowly sends text a few bytes at a time until the crowd's time has passed.
func (m *member) slowly(text string, piece int) bool {
	for len(text) > 0 && time.Now().Before(m.until) {
		n := min(piece, len(text))
		if !m.write(text[:n]) {
			return false
		}
		text = text[n:]
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// pieces sends size bytes, piece bytes in each write.
func (m *member) pieces(size, piece int) bool {
	p := strings.Repeat("x", piece)
	for sent := 0; sent < size; sent += piece {
		if !m.write(p[:min(piece, size-sent)]) {
			return false
		}
	}
	return true
}

// length returns the line that announces a body of n bytes.
func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// chunk returns data as a chunk of a body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// fields returns header fields with different names of two or three bytes, size bytes or a little less.
func fields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; ; i++ {
		name := string([]byte{letters[i%26], letters[i/26%36], letters[i/26/36%36]})
		line := fmt.Sprintf(smallField, name)
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// legalFields fill a header up to the limit of the configuration, with room for the request line and what every
// request has.
var legalFields = fields(crowdHeaderBytes - 256)

// Guards against a host that runs out of memory or descriptors, or answers nobody, while many clients send bodies of
// legal size, stop just short of their end and stay.
func TestCrowdOfBodiesThatStopShortOfTheirEnd(t *testing.T) {
	for name, send := range bodiesThatStop() {
		crowdAtAllDoors(t, name, send)
	}
}

// bodiesThatStop returns what members of such a crowd send, by name.
func bodiesThatStop() map[string]func(m *member) {
	body := strings.Repeat("x", crowdBodyBytes)
	return map[string]func(m *member){
		"one piece": func(m *member) {
			n := len(body) >> (m.number % 3) // some are held in memory, others are not
			short := 1
			if m.number%8 == 0 {
				short = 0
			}
			m.write(m.head("POST", length(n)) + "\r\n" + body[:n-short])
		},
		"small pieces": func(m *member) {
			if m.write(m.head("POST", length(crowdBodyBytes)) + "\r\n") {
				m.pieces(crowdBodyBytes-1, 500)
			}
		},
		"chunks": func(m *member) {
			if !m.write(m.head("POST", "Transfer-Encoding: chunked\r\n") + "\r\n") {
				return
			}
			few := strings.Repeat(chunk("x"), 1000)
			for range 200 {
				if !m.write(few) {
					return
				}
			}
			m.write(chunk(body[:crowdBodyBytes/2]))
		},
		"answered at once": func(m *member) {
			m.write(m.head("POST", length(100<<10)) + "\r\n" + body[:100<<10-1])
		},
	}
}

// Guards against a host that runs out of memory or descriptors, or answers nobody, while many clients send bodies
// far beyond the limit.
func TestCrowdOfBodiesBeyondTheLimit(t *testing.T) {
	const size = 16 * crowdBodyBytes
	crowdAtAllDoors(t, "length", func(m *member) {
		if m.write(m.head("POST", length(size)) + "\r\n") {
			m.pieces(size-1, 32<<10)
		}
	})
	crowdAtAllDoors(t, "chunks", func(m *member) {
		if !m.write(m.head("POST", "Transfer-Encoding: chunked\r\n") + "\r\n") {
			return
		}
		big := chunk(strings.Repeat("x", 32<<10))
		for range size / (32 << 10) {
			if !m.write(big) {
				return
			}
		}
	})
}

// Guards against a host that runs out of memory, or answers nobody, while many clients send headers of legal size
// made of very many fields, or headers beyond the limit.
func TestCrowdOfManyShortFields(t *testing.T) {
	for name, send := range manyShortFields() {
		crowdAtAllDoors(t, name, send)
	}
}

// manyShortFields returns what members of such a crowd send, by name.
func manyShortFields() map[string]func(m *member) {
	same := strings.Repeat("a:\r\n", len(legalFields)/len("a:\r\n"))
	illegal := fields(15 * crowdHeaderBytes)
	trailer := fields(crowdHeaderBytes)
	return map[string]func(m *member){
		"whole": func(m *member) {
			if m.door.listener == forCallers && m.number%2 == 0 {
				m.door.path += "/hold"
			}
			m.write(m.head("GET", legalFields) + "\r\n")
		},
		"one name":  func(m *member) { m.write(m.head("GET", same) + "\r\n") },
		"no end":    func(m *member) { m.write(m.head("GET", legalFields)) },
		"then body": func(m *member) { m.write(m.head("POST", legalFields+length(1000)) + "\r\n" + strings.Repeat("x", 999)) },
		"too many":  func(m *member) { m.write(m.head("GET", illegal) + "\r\n") },
		"in trailer": func(m *member) {
			m.write(m.head("POST", "Transfer-Encoding: chunked\r\n") + "\r\n" + chunk("x") + "0\r\n" + trailer)
		},
	}
}

// Guards against a host that runs out of memory or descriptors, or answers nobody, while many clients send requests
// ahead and read no response.
func TestCrowdOfRequestsSentAhead(t *testing.T) {
	crowdAtAllDoors(t, "large responses", func(m *member) {
		if m.door.listener == forCallers {
			m.door.path += "/big"
		}
		request := m.head("GET", "") + "\r\n"
		m.write(strings.Repeat(request, 2000))
	})
	crowdAtAllDoors(t, "many fields", func(m *member) {
		request := m.head("GET", legalFields) + "\r\n"
		m.write(strings.Repeat(request, 200))
	})
	crowdAtAllDoors(t, "bodies", func(m *member) {
		request := m.head("POST", length(30<<10)) + "\r\n" + strings.Repeat("x", 30<<10)
		m.write(strings.Repeat(request, 200))
	})
}

// Guards against a host that runs out of memory or descriptors, or answers nobody, while many clients send or read
// very slowly, or stop half-way.
func TestCrowdOfSlowClients(t *testing.T) {
	for name, send := range slowClients() {
		crowdAtAllDoors(t, name, send)
	}
}

// slowClients returns what members of such a crowd do, by name.
func slowClients() map[string]func(m *member) {
	return map[string]func(m *member){
		"silent":    func(*member) {},
		"slow head": func(m *member) { m.slowly(m.head("GET", legalFields), 1) },
		"half a head": func(m *member) {
			head := m.head("GET", "")
			m.write(head[:len(head)/2])
		},
		"slow body": func(m *member) {
			if m.write(m.head("POST", length(crowdBodyBytes)) + "\r\n") {
				m.slowly(strings.Repeat("x", crowdBodyBytes), 10)
			}
		},
		"half a body": func(m *member) {
			m.write(m.head("POST", length(200<<10)) + "\r\n" + strings.Repeat("x", 100<<10))
		},
		"slow reader": func(m *member) {
			if m.door.listener == forCallers {
				m.door.path += "/big"
			}
			if !m.write(m.head("GET", "") + "\r\n") {
				return
			}
			for b := make([]byte, 10); time.Now().Before(m.until); time.Sleep(20 * time.Millisecond) {
				if _, err := m.Read(b); err != nil {
					return
				}
			}
		},
	}
}

// Guards against a host that bears each kind of crowd, and not all at once, with more connections than there are
// descriptors, at the listener for operators, too.
func TestCrowdOfAllKindsAtOnce(t *testing.T) {
	kinds := []func(m *member){func(m *member) { // closes its side half-way
		m.write(m.head("POST", length(200<<10)) + "\r\n" + strings.Repeat("x", 100<<10))
		_ = m.Conn.(*net.TCPConn).CloseWrite()
	}}
	for _, crowd := range []map[string]func(m *member){bodiesThatStop(), manyShortFields(), slowClients()} {
		for _, name := range slices.Sorted(maps.Keys(crowd)) {
			kinds = append(kinds, crowd[name])
		}
	}
	list := []door{{path: "/metrics", listener: forOperators}}
	for _, behind := range slices.Sorted(maps.Keys(doors)) {
		list = append(list, doors[behind]...)
	}
	h := startCrowdHost(t)
	leave := h.crowd(2*crowdDescriptors, list, func(m *member) { kinds[m.number%int64(len(kinds))](m) })
	h.assertServes("while the crowd is there")
	leave()
	h.assertServes("after the crowd has left")
	h.assertBounds()
	h.assertStops()
}

// crowdAtAllDoors plays a crowd at each kind of door, each time with a host of its own.
func crowdAtAllDoors(t *testing.T, name string, send func(m *member)) {
	for behind, list := range doors {
		t.Run(name+" at "+behind, func(t *testing.T) {
			h := startCrowdHost(t)
			leave := h.crowd(crowdSize, list, send)
			h.assertServes("while the crowd is there")
			leave()
			h.assertServes("after the crowd has left")
			h.assertBounds()
			h.assertStops()
		})
	}
}

// crowd lets many clients send to doors of the host. It returns once all have sent what they want or their time has
// passed; the returned function closes their connections.
func (h *crowdHost) crowd(size int, list []door, send func(m *member)) (leave func()) {
	var sending, staying sync.WaitGroup
	var number atomic.Int64
	left := make(chan struct{})
	until := time.Now().Add(crowdTime)
	for i := range size {
		sending.Add(1)
		staying.Go(func() {
			sent := sync.OnceFunc(sending.Done)
			defer sent()
			for range crowdTries {
				m := &member{door: list[i%len(list)], number: number.Add(1), until: until}
				if !h.connect(m) {
					return
				}
				send(m)
				if !time.Now().Before(until) {
					sent()
				}
				closed := make(chan struct{})
				go func() {
					defer close(closed)
					m.awaitClose(sent)
				}()
				select {
				case <-closed:
				case <-left:
					_ = m.Close()
					<-closed
					return
				}
				_ = m.Close()
			}
		})
	}
	sending.Wait()
	return func() {
		close(left)
		staying.Wait()
	}
}

// connect opens the connection of a member, or reports that its time has passed.
func (h *crowdHost) connect(m *member) bool {
	d := net.Dialer{Deadline: m.until}
	conn, err := d.Dial("tcp", h.addrs[m.door.listener])
	if err != nil {
		return false
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetDeadline(m.until)
	m.Conn = conn
	return true
}

// awaitClose returns once the server has closed the connection. It reads nothing, and calls stays if the connection
// is open at the end of the crowd's time.
func (m *member) awaitClose(stays func()) {
	raw, err := m.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for !closedByServer(raw) {
		if !time.Now().Before(m.until) {
			stays()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against limits that refuse what the configuration allows: a single client sends the largest header and the
// largest body, in any form, and is served.
func TestLargestRequestsAreServedInCalm(t *testing.T) {
	h := startCrowdHost(t)
	body := bytes.Repeat([]byte("x"), crowdBodyBytes)
	for _, path := range []string{"/lots/1", "/bids/1", "/files/1"} {
		m := &member{door: door{path: path}, until: time.Now().Add(time.Minute)}
		chunked := "Transfer-Encoding: chunked\r\n"
		pieces := strings.Repeat(chunk(string(body[:1000])), crowdBodyBytes/1000)
		for name, request := range map[string]string{
			"fields":        m.head("GET", legalFields) + "\r\n",
			"fields + body": m.head("POST", legalFields+length(1000)) + "\r\n" + string(body[:1000]),
			"body":          m.head("POST", length(len(body))) + "\r\n" + string(body),
			"chunk":         m.head("POST", chunked) + "\r\n" + chunk(string(body)) + "0\r\n\r\n",
			"small chunks":  m.head("POST", chunked) + "\r\n" + pieces + "0\r\n\r\n",
		} {
			h.assertServed(path+" "+name, request)
		}
	}
	h.assertBounds()
	h.assertStops()
}
