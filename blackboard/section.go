// Package blackboard is the state that the controllers of one daemon share.
// Each section holds an immutable value behind an atomic pointer: a reader
// takes no lock and sees one consistent value, whatever a slow store, peer or
// probe is doing. Changes are announced over watermill's in-process channel.
package blackboard

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Topic names a section in change events.
type Topic string

// versioned is a value with the number of changes that led to it.
type versioned[T any] struct {
	version uint64
	value   T
}

// Section holds one immutable value. A value that was stored must not be
// changed any more, nor anything it points to.
type Section[T any] struct {
	topic Topic
	bus   *gochannel.GoChannel
	cur   atomic.Pointer[versioned[T]]
	mu    sync.Mutex // serialises writers
}

func newSection[T any](bus *gochannel.GoChannel, topic Topic, first T) *Section[T] {
	s := &Section[T]{topic: topic, bus: bus}
	s.cur.Store(&versioned[T]{value: first})
	return s
}

// Load returns the present value.
func (s *Section[T]) Load() T { return s.cur.Load().value }

// Version returns the number of changes made so far.
func (s *Section[T]) Version() uint64 { return s.cur.Load().version }

// Update replaces the value with what f makes of it. If f returns false the
// value stays. Writers run one at a time; readers never wait.
func (s *Section[T]) Update(f func(old T) (T, bool)) bool {
	s.mu.Lock()
	old := s.cur.Load()
	next, changed := f(old.value)
	if changed {
		s.cur.Store(&versioned[T]{version: old.version + 1, value: next})
	}
	s.mu.Unlock()
	if changed {
		s.announce(old.version + 1)
	}
	return changed
}

// Store replaces the value.
func (s *Section[T]) Store(v T) {
	s.Update(func(T) (T, bool) { return v, true })
}

func (s *Section[T]) announce(version uint64) {
	msg := message.NewMessage(watermill.NewShortUUID(), []byte(strconv.FormatUint(version, 10)))
	// Publish fails only on a closed bus: the daemon has stopped and nobody
	// reads any more.
	_ = s.bus.Publish(string(s.topic), msg)
}

// Watch calls f once with the present value and again after each change until
// ctx ends. Changes that come while f runs are folded into one further call, so
// a slow watcher sees the newest value and never holds up a writer.
func (s *Section[T]) Watch(ctx context.Context, f func(T)) error {
	events, err := s.bus.Subscribe(ctx, string(s.topic))
	if err != nil {
		return err
	}
	seen := s.cur.Load()
	f(seen.value)
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg, ok := <-events:
			if !ok {
				return nil
			}
			msg.Ack()
			now := s.cur.Load()
			if now.version == seen.version {
				continue
			}
			seen = now
			f(now.value)
		}
	}
}
