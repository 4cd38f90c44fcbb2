package main

import (
	"bytes"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cactusproxy/cactusproxy/platform"
)

// crowdSize is the number of connections of a crowd that are open at the same time.
const crowdSize = 600

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
