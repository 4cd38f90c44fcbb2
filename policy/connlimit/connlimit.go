// Package connlimit decides which connection of a client is closed so that another client can connect, on a host that
// has as many open as it can hold.
//
// The load is a crowd of clients that connect and send nothing, send a part of a request, or don't read their
// responses. Ordinary clients send a request at once and read its response, so that theirs wait shortest.
package connlimit

import "time"

// Wait is what a connection waits for.
type Wait uint8

const (
	// Nothing means that a request is being served.
	Nothing Wait = iota
	// NextRequest means that the client has sent no byte of a request.
	NextRequest
	// RestOfRequest means that the client has sent a part of a request.
	RestOfRequest
	// Reader means that the client has not read what was sent to it.
	Reader
)

// Conn is an open connection.
type Conn struct {
	Wait Wait
	// Since is when the wait began.
	Since time.Time
}

// stalledAfter is how long a client pauses within a request or a response at most if it is well. A packet that is lost
// twice arrives within it.
const stalledAfter = time.Second

// rank orders connections for closing; the highest is closed first.
type rank uint8

const (
	never rank = iota
	paused
	idle
	stalled
)

func rankOf(c Conn, now time.Time) rank {
	switch {
	case c.Wait == Nothing:
		return never
	case c.Wait == NextRequest:
		return idle
	case now.Sub(c.Since) >= stalledAfter:
		return stalled
	default:
		return paused
	}
}

// Victim returns the index of the connection to close, or -1 if each serves a request: one whose client has stalled
// within a request or response, or else one without a request, or else one that waits for its client at all. Of several
// it is the one that has waited longest.
func Victim(now time.Time, conns []Conn) int {
	best, bestRank := -1, never
	for i, c := range conns {
		r := rankOf(c, now)
		if r > bestRank || r == bestRank && best >= 0 && c.Since.Before(conns[best].Since) {
			best, bestRank = i, r
		}
	}
	return best
}
