package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusproxy/cactusproxy/platform/standin"
)

const (
	// crowdTries is how often a member of a crowd connects again after its connection was closed.
	crowdTries = 3
	// crowdTime bounds how long a crowd sends.
	crowdTime = 3 * time.Second
	// smallField is a header field in as few bytes as its name allows.
	smallField = "%s:\r\n"
)

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
