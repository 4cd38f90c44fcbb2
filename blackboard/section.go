// Package blackboard holds the state that the controllers of one daemon share. A Board
// consists of sections, and each Section holds an immutable value behind an atomic pointer:
// readers take no lock and see a consistent value, even while the store, a peer or a probe
// is slow. Section.Watch reports changes, which are distributed over watermill's in-process
// channel.
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

// Topic identifies a section in change events.
type Topic string

// versioned is a value with the number of changes made up to it.
type versioned[T any] struct {
	version uint64
	value   T
}

// Section holds one immutable value. A stored value, and anything it points to, must not be
// modified.
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

// Load returns the current value.
func (s *Section[T]) Load() T { return s.cur.Load().value }

// Version returns the number of changes made so far.
func (s *Section[T]) Version() uint64 { return s.cur.Load().version }

// Update replaces the value with the result of f unless f returns false, and reports whether
// it did. Calls of Update run one at a time; readers never wait.
func (s *Section[T]) Update(f func(old T) (T, bool)) bool {
	s.mu.Lock()
	old := s.cur.Load()
	next, changed := f(old.value)
	if changed {
		s.cur.Store(&versioned[T]{version: old.version + 1, value: next})
	}
	s.mu.Unlock()
	if changed {
		s.publish(old.version + 1)
	}
	return changed
}

// Store replaces the value.
func (s *Section[T]) Store(v T) {
	s.Update(func(T) (T, bool) { return v, true })
}

func (s *Section[T]) publish(version uint64) {
	msg := message.NewMessage(watermill.NewShortUUID(), []byte(strconv.FormatUint(version, 10)))
	// Publish fails only on a closed bus, when the daemon has stopped and nobody is watching.
	_ = s.bus.Publish(string(s.topic), msg)
}

// Watch calls f with the current value and again after each change until ctx ends. Changes
// made while f runs are coalesced into one further call, so a slow watcher sees the latest
// value and never blocks a writer.
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
