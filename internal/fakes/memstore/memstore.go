// Package memstore is an in-memory directory store for tests in virtual time. It holds the
// configuration, targets, evacuation orders and host list that hosts read through
// directory.Source. Each host uses a Client of its own, so that a test can make the store reject
// the calls of some hosts or never answer them.
package memstore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Mode is how the store treats the calls of a client.
type Mode uint8

const (
	// Serving responds after the store's delay.
	Serving Mode = iota
	// Refusing rejects every call with directory.ErrRefused.
	Refusing
	// Unresponsive never responds, not even to calls already in progress.
	Unresponsive
)

// Store is the shared state behind all clients. All methods are safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	delay time.Duration
	// replyDelay is the time between computing a response and its arrival.
	replyDelay time.Duration
	revision   directory.Revision
	config     *routing.Config
	configAt   directory.Revision
	targets    map[ports.HostID]directory.Target
	// evacuations are the orders in effect by zone; evacuationLog has the changes since
	// historyStart.
	evacuations   map[string]directory.Evacuation
	evacuationLog []directory.Evacuation
	hosts         []directory.Host
	// targetLog has the changes to targets since historyStart.
	targetLog    []directory.Target
	historyStart directory.Revision
	// changed is closed and replaced at each change of the data or of a client's mode.
	changed chan struct{}
	// watchesHeld suspends watches, as a real store does before it drops its history.
	watchesHeld bool
	calls       int
	// started is the origin of the store's clock.
	started time.Time
}

// New returns an empty store that takes the given delay before it processes a call.
func New(delay time.Duration) *Store {
	return &Store{
		delay:    delay,
		revision: 1,
		targets:  make(map[ports.HostID]directory.Target),

		evacuations: make(map[string]directory.Evacuation),

		changed: make(chan struct{}),
		started: time.Now().Add(-time.Hour),
	}
}

// SetReplyDelay sets the time between computing a response and its arrival.
func (s *Store) SetReplyDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyDelay = d
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// PutConfig stores a configuration.
func (s *Store) PutConfig(c *routing.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config, s.configAt = c, s.revision
	s.notifyChange()
}

// PutUnreadableConfig stores a configuration that no client can decode.
func (s *Store) PutUnreadableConfig() { s.PutConfig(nil) }

// Put stores a target's entry.
func (s *Store) Put(t directory.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	t.Revision = s.revision
	s.targets[t.ID] = t
	s.targetLog = append(s.targetLog, t)
	s.notifyChange()
}

// Remove deletes a target's entry.
func (s *Store) Remove(id ports.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.targets, id)
	s.targetLog = append(s.targetLog, directory.Target{ID: id, Revision: s.revision, Removed: true})
	s.notifyChange()
}

// Evacuate stores an order to evacuate a zone.
func (s *Store) Evacuate(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := directory.Evacuation{Zone: zone, Revision: s.revision}
	s.evacuations[zone] = e
	s.evacuationLog = append(s.evacuationLog, e)
	s.notifyChange()
}

// EndEvacuation deletes the order to evacuate a zone.
func (s *Store) EndEvacuation(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.evacuations, zone)
	s.evacuationLog = append(s.evacuationLog, directory.Evacuation{Zone: zone, Revision: s.revision, Ended: true})
	s.notifyChange()
}

// Evacuated reports whether an evacuation order for the zone is in effect.
func (s *Store) Evacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.evacuations[zone]
	return ok
}

// DropHistory drops the change history. Watches from an earlier revision fail with
// directory.ErrHistoryGone, so that the client has to read everything again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetLog, s.evacuationLog, s.historyStart = nil, nil, s.revision
	s.notifyChange()
}

// HoldWatches suspends all watches, or resumes them.
func (s *Store) HoldWatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesHeld = on
	s.notifyChange()
}

// Targets returns the entries of all targets.
func (s *Store) Targets() map[ports.HostID]directory.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.targets)
}

// notifyChange wakes all watches. The caller holds the lock.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Client is one host's connection to the store.
type Client struct {
	store *Store
	mode  Mode // guarded by the store's lock
	// trickle is how long a response with changes keeps arriving; guarded by the store's lock.
	trickle time.Duration
	// exempt has the topics that are served whatever the mode.
	exempt map[directory.Topic]bool
}

var _ directory.Source = (*Client)(nil)

// Client returns a client for one host, in mode Serving.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetMode changes how the store treats the client's calls.
func (c *Client) SetMode(m Mode) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.mode = m
	c.store.notifyChange()
}

// ExemptTopic exempts one topic from the mode, as if only other tables of the store were
// unavailable.
func (c *Client) ExemptTopic(t directory.Topic) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.exempt = map[directory.Topic]bool{t: true}
}

// modeFor returns the mode of calls on a topic. The caller holds the lock.
func (c *Client) modeFor(t directory.Topic) Mode {
	if c.exempt[t] {
		return Serving
	}
	return c.mode
}

// begin counts a call on a topic and applies the client's mode and the store's delay.
func (c *Client) begin(ctx context.Context, t directory.Topic) error {
	s := c.store
	s.mu.Lock()
	s.calls++
	mode, delay := c.modeFor(t), s.delay
	s.mu.Unlock()
	if mode == Unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if mode == Refusing {
		return errors.Mark(errors.New("request refused"), directory.ErrRefused)
	}
	return nil
}

// Read implements directory.Source.
func (c *Client) Read(whole context.Context, t directory.Topic, silence time.Duration) (directory.Changes, error) {
	ctx, cancel := context.WithTimeout(whole, silence)
	defer cancel()
	if err := c.begin(ctx, t); err != nil {
		return directory.Changes{}, err
	}
	ch := c.store.readAll(t)
	if trickled, err := c.awaitTrickle(whole, ch); trickled {
		return ch, err
	}
	return ch, c.delayReply(ctx)
}

// readAll returns the full state of a topic.
func (s *Store) readAll(t directory.Topic) directory.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := directory.Changes{Revision: s.revision, StoreTime: time.Since(s.started)}
	if t == directory.TopicConfig {
		s.addConfig(&ch)
		ch.AllEvacuations = s.revision
		ch.Evacuations = slices.Collect(maps.Values(s.evacuations))
		return ch
	}
	ch.AllTargets = true
	ch.Targets = slices.Collect(maps.Values(s.targets))
	return ch
}

// Watch implements directory.Source.
func (c *Client) Watch(whole context.Context, t directory.Topic, after directory.Revision, wait, silence time.Duration) (directory.Changes, error) {
	ctx, cancel := context.WithTimeout(whole, wait+silence)
	defer cancel()
	ch, err := c.waitForChange(ctx, t, after, wait)
	if err != nil {
		return directory.Changes{}, err
	}
	if trickled, err := c.awaitTrickle(whole, ch); trickled {
		return ch, err
	}
	return ch, c.delayReply(ctx)
}

// delayReply waits for the reply delay.
func (c *Client) delayReply(ctx context.Context) error {
	c.store.mu.Lock()
	lag := c.store.replyDelay
	c.store.mu.Unlock()
	select {
	case <-time.After(lag):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitForChange returns the changes to a topic after a revision, as soon as there are any, or
// an empty result after wait.
func (c *Client) waitForChange(ctx context.Context, t directory.Topic, after directory.Revision, wait time.Duration) (directory.Changes, error) {
	if err := c.begin(ctx, t); err != nil {
		return directory.Changes{}, err
	}
	timeout := time.After(wait)
	for {
		ch, mode, changed, err := c.changesAfter(t, after)
		if mode == Unresponsive {
			<-ctx.Done()
			return directory.Changes{}, ctx.Err()
		}
		if err != nil || !ch.Empty() || ch.ConfigUnreadable {
			return ch, err
		}
		select {
		case <-changed:
		case <-timeout:
			ch.Waited, ch.StoreTime = wait, time.Since(c.store.started)
			return ch, nil
		case <-ctx.Done():
			return directory.Changes{}, ctx.Err()
		}
	}
}

// changesAfter returns the changes after a revision, the client's mode, and a channel that is
// closed at the next change.
func (c *Client) changesAfter(t directory.Topic, after directory.Revision) (directory.Changes, Mode, <-chan struct{}, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := directory.Changes{Revision: after, StoreTime: time.Since(s.started)}
	if s.watchesHeld {
		return ch, c.modeFor(t), s.changed, nil
	}
	if after < s.historyStart {
		return ch, c.modeFor(t), s.changed, errors.Mark(errors.New("revision is older than the history"), directory.ErrHistoryGone)
	}
	ch.Revision = s.revision
	if t == directory.TopicConfig && s.configAt > after {
		s.addConfig(&ch)
	}
	if t == directory.TopicConfig {
		for _, o := range s.evacuationLog {
			if o.Revision > after {
				ch.Evacuations = append(ch.Evacuations, o)
			}
		}
	}
	if t == directory.TopicTargets {
		for _, e := range s.targetLog {
			if e.Revision > after {
				ch.Targets = append(ch.Targets, e)
			}
		}
	}
	return ch, c.modeFor(t), s.changed, nil
}

// addConfig adds the configuration to a response. The caller holds the lock.
func (s *Store) addConfig(ch *directory.Changes) {
	ch.Config = s.config
	ch.ConfigUnreadable = s.config == nil && s.configAt > 0
}

// hostsTopic is a pseudo topic for the host list, which has a table of its own.
const hostsTopic = directory.Topics

// Hosts implements directory.Source.
func (c *Client) Hosts(ctx context.Context) ([]directory.Host, error) {
	if err := c.begin(ctx, hostsTopic); err != nil {
		return nil, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return slices.Clone(c.store.hosts), nil
}

// Announce implements directory.Source.
func (c *Client) Announce(ctx context.Context, hosts []directory.Host) error {
	if err := c.begin(ctx, hostsTopic); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.hosts = slices.Clone(hosts)
	return nil
}
