// Package record is the platform's record in memory, for tests in virtual time. Each
// host reaches it through a Client of its own, which can be turned away in the ways
// in which a platform's store fails.
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

// Mode is how the record treats a client.
type Mode uint8

const (
	// Serving answers after the record's delay.
	Serving Mode = iota
	// Refusing answers every call with a refusal.
	Refusing
	// Unresponsive never answers, not even calls that were under way.
	Unresponsive
)

// Store holds the configuration and the targets. All methods are safe for
// concurrent use.
type Store struct {
	mu    sync.Mutex
	delay time.Duration
	// lag is how long answers are on their way back.
	lag      time.Duration
	revision directory.Revision
	config   *routing.Config
	configAt directory.Revision
	targets  map[ports.HostID]directory.Target
	// evacuations are the orders in force, by zone, evacuationLog their history since cutAt.
	evacuations   map[string]directory.Evacuation
	evacuationLog []directory.Evacuation
	hosts         []directory.Host
	// log is the history of targets since cutAt.
	log   []directory.Target
	cutAt directory.Revision
	// changed is closed and replaced at each change of anything, modes included.
	changed chan struct{}
	// muted holds watches back, as a store does before it drops its history.
	muted bool
	calls int
}

// New returns an empty record that answers after a delay.
func New(delay time.Duration) *Store {
	return &Store{
		delay:    delay,
		revision: 1,
		targets:  make(map[ports.HostID]directory.Target),

		evacuations: make(map[string]directory.Evacuation),

		changed: make(chan struct{}),
	}
}

// SetReplyDelay changes how long an answer is on its way after it was made.
func (r *Store) SetReplyDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = d
}

// Calls returns the number of calls made so far.
func (r *Store) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// PutConfig writes a configuration.
func (r *Store) PutConfig(c *routing.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.config, r.configAt = c, r.revision
	r.announce()
}

// PutUnreadableConfig writes a configuration that no client can read.
func (r *Store) PutUnreadableConfig() { r.PutConfig(nil) }

// Put writes a target's entry.
func (r *Store) Put(t directory.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	t.Revision = r.revision
	r.targets[t.ID] = t
	r.log = append(r.log, t)
	r.announce()
}

// Remove drops a target's entry.
func (r *Store) Remove(id ports.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	delete(r.targets, id)
	r.log = append(r.log, directory.Target{ID: id, Revision: r.revision, Removed: true})
	r.announce()
}

// Evacuate writes an order to evacuate a zone.
func (r *Store) Evacuate(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	o := directory.Evacuation{Zone: zone, Revision: r.revision}
	r.evacuations[zone] = o
	r.evacuationLog = append(r.evacuationLog, o)
	r.announce()
}

// EndEvacuation drops the order to evacuate a zone.
func (r *Store) EndEvacuation(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	delete(r.evacuations, zone)
	r.evacuationLog = append(r.evacuationLog, directory.Evacuation{Zone: zone, Revision: r.revision, Ended: true})
	r.announce()
}

// Evacuated reports whether an order for a zone is in force.
func (r *Store) Evacuated(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.evacuations[zone]
	return ok
}

// DropHistory forgets all changes so far: watches from before have to read whole.
func (r *Store) DropHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log, r.evacuationLog, r.cutAt = nil, nil, r.revision
	r.announce()
}

// HoldWatches holds all watches back, or no longer.
func (r *Store) HoldWatches(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted = on
	r.announce()
}

// Targets returns the entries.
func (r *Store) Targets() map[ports.HostID]directory.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.targets)
}

// announce is called with the lock held.
func (r *Store) announce() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Client is one host's way to the record.
type Client struct {
	record *Store
	mode   Mode // guarded by the record's lock
	// spared has topics that the mode does not hold for.
	spared map[directory.Topic]bool
}

var _ directory.Source = (*Client)(nil)

// Client returns a way to the record for one host.
func (r *Store) Client() *Client { return &Client{record: r} }

// SetMode changes how the record treats the client.
func (c *Client) SetMode(m Mode) {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.mode = m
	c.record.announce()
}

// ExemptTopic has the mode not hold for a topic, as if only other tables of the store were out.
func (c *Client) ExemptTopic(t directory.Topic) {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.spared = map[directory.Topic]bool{t: true}
}

// modeFor returns how the record treats the client's calls about a topic. The lock is held.
func (c *Client) modeFor(t directory.Topic) Mode {
	if c.spared[t] {
		return Serving
	}
	return c.mode
}

// enter begins a call about a topic.
func (c *Client) enter(ctx context.Context, t directory.Topic) error {
	r := c.record
	r.mu.Lock()
	r.calls++
	mode, delay := c.modeFor(t), r.delay
	r.mu.Unlock()
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
		return errors.Mark(errors.New("turned away"), directory.ErrRefused)
	}
	return nil
}

// Read implements directory.Source.
func (c *Client) Read(ctx context.Context, t directory.Topic, silence time.Duration) (directory.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	if err := c.enter(ctx, t); err != nil {
		return directory.Changes{}, err
	}
	return c.record.whole(t), c.travel(ctx)
}

// whole returns a topic whole.
func (r *Store) whole(t directory.Topic) directory.Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := directory.Changes{Revision: r.revision}
	if t == directory.TopicConfig {
		r.addConfig(&ch)
		ch.AllEvacuations = r.revision
		ch.Evacuations = slices.Collect(maps.Values(r.evacuations))
		return ch
	}
	ch.AllTargets = true
	ch.Targets = slices.Collect(maps.Values(r.targets))
	return ch
}

// Watch implements directory.Source.
func (c *Client) Watch(ctx context.Context, t directory.Topic, after directory.Revision, wait, silence time.Duration) (directory.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+silence)
	defer cancel()
	ch, err := c.await(ctx, t, after, wait)
	if err != nil {
		return directory.Changes{}, err
	}
	return ch, c.travel(ctx)
}

// travel takes as long as an answer is on its way back.
func (c *Client) travel(ctx context.Context) error {
	c.record.mu.Lock()
	lag := c.record.lag
	c.record.mu.Unlock()
	select {
	case <-time.After(lag):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await returns what changes in a topic, as soon as something does.
func (c *Client) await(ctx context.Context, t directory.Topic, after directory.Revision, wait time.Duration) (directory.Changes, error) {
	if err := c.enter(ctx, t); err != nil {
		return directory.Changes{}, err
	}
	timeout := time.After(wait)
	for {
		ch, mode, changed, err := c.look(t, after)
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
			ch.Waited = wait
			return ch, nil
		case <-ctx.Done():
			return directory.Changes{}, ctx.Err()
		}
	}
}

// look returns what changed after a revision, and what tells of the next change.
func (c *Client) look(t directory.Topic, after directory.Revision) (directory.Changes, Mode, <-chan struct{}, error) {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := directory.Changes{Revision: after}
	if r.muted {
		return ch, c.modeFor(t), r.changed, nil
	}
	if after < r.cutAt {
		return ch, c.modeFor(t), r.changed, errors.Mark(errors.New("too old"), directory.ErrHistoryGone)
	}
	ch.Revision = r.revision
	if t == directory.TopicConfig && r.configAt > after {
		r.addConfig(&ch)
	}
	if t == directory.TopicConfig {
		for _, o := range r.evacuationLog {
			if o.Revision > after {
				ch.Evacuations = append(ch.Evacuations, o)
			}
		}
	}
	if t == directory.TopicTargets {
		for _, e := range r.log {
			if e.Revision > after {
				ch.Targets = append(ch.Targets, e)
			}
		}
	}
	return ch, c.modeFor(t), r.changed, nil
}

// addConfig adds the configuration to an answer. It is called with the lock held.
func (r *Store) addConfig(ch *directory.Changes) {
	ch.Config = r.config
	ch.ConfigUnreadable = r.config == nil && r.configAt > 0
}

// hostsTopic stands for the list of hosts, which is in a table of its own.
const hostsTopic = directory.Topics

// Hosts implements directory.Source.
func (c *Client) Hosts(ctx context.Context) ([]directory.Host, error) {
	if err := c.enter(ctx, hostsTopic); err != nil {
		return nil, err
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	return slices.Clone(c.record.hosts), nil
}

// Announce implements directory.Source.
func (c *Client) Announce(ctx context.Context, hosts []directory.Host) error {
	if err := c.enter(ctx, hostsTopic); err != nil {
		return err
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.record.hosts = slices.Clone(hosts)
	return nil
}
