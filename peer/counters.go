package peer

import (
	"expvar"

	"github.com/cactusproxy/cactusproxy/metrics"
)

// counters holds the metrics of one node, published as the map "peer".
type counters struct {
	framesIn, framesOut *expvar.Int
	bytesIn, bytesOut   *expvar.Int
	connections         *expvar.Int // open connections that this host initiated
	dials, dialFailed   *expvar.Int
	handshakeFailed     *expvar.Int
	inboundRefused      *expvar.Int
	acceptFailed        *expvar.Int
	connBroken          *expvar.Int
	connStalled         *expvar.Int
	frameRefused        *expvar.Int
	unknownPeer         *expvar.Int
	backingOff          *expvar.Int
	queueFull           *expvar.Int
	replyQueueFull      *expvar.Int
	// repliesRefused counts replies that were not sent, and framesRefused messages that were not, because
	// too many bytes were queued for all peers together.
	repliesRefused, framesRefused *expvar.Int
	tooLarge                      *expvar.Int
	handlersBusy                  *expvar.Int
	lateReply                     *expvar.Int
}

func newCounters(set *metrics.Set) counters {
	add := set.Counters("peer")
	return counters{
		framesIn:        add("frames_in"),
		framesOut:       add("frames_out"),
		bytesIn:         add("bytes_in"),
		bytesOut:        add("bytes_out"),
		connections:     add("connections"),
		dials:           add("dials"),
		dialFailed:      add("dial_failed"),
		handshakeFailed: add("handshake_failed"),
		inboundRefused:  add("inbound_refused"),
		acceptFailed:    add("accept_failed"),
		connBroken:      add("connection_broken"),
		connStalled:     add("connection_stalled"),
		frameRefused:    add("frame_refused"),
		unknownPeer:     add("unknown_peer"),
		backingOff:      add("backing_off"),
		queueFull:       add("queue_full"),
		replyQueueFull:  add("reply_queue_full"),
		repliesRefused:  add("replies_refused"),
		framesRefused:   add("messages_refused"),
		tooLarge:        add("too_large"),
		handlersBusy:    add("handlers_busy"),
		lateReply:       add("late_reply"),
	}
}
