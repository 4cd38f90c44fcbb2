package watch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/watchers"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// syncTimeout bounds an exchange of all that two hosts know.
	syncTimeout = time.Second
	// checkTimeout bounds an exchange of what a host missed: some KB, a few ms on a good
	// day. Two in a row and the wait before them leave a second of the 2 s in which a
	// leaving target must be known.
	checkTimeout = 400 * time.Millisecond
	// catchUpAfter is how long a host that is behind waits for the change itself.
	catchUpAfter = 150 * time.Millisecond
)

// onBeat takes in a watcher's heartbeat.
func (c *Controller) onBeat(ctx context.Context, from ports.HostID, b beat) (struct{}, error) {
	c.count.beats.Add(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	was, had := c.beats[from]
	c.beats[from] = watchers.Heartbeat{ReceivedAt: now, StoreOK: b.StoreOK, StoreAge: b.StoreAge, StoreWait: b.StoreWait}
	c.heard(b.Host)
	c.hear(b.Version)
	if b.StoreOK {
		c.storeServed(now.Add(-b.StoreAge))
		c.noteOutage(now.Add(-b.StoreAge))
	}
	if !had || was.StoreOK != b.StoreOK || !was.Fresh(now) {
		c.wakeUp()
	}
	if c.behind(b) {
		c.checkLater(from, func() bool { return c.behind(b) })
	}
	if b.Hosts == c.hostDigest() {
		c.noteComplete()
	} else {
		c.exchangeHosts(from, now)
	}
	return struct{}{}, nil
}

// onRefused takes in that the store did not serve another host's try to watch. The turns
// to try it are further apart once it is out for all.
func (c *Controller) onRefused(_ context.Context, from ports.HostID, _ refused) (struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[from] = time.Now()
	c.wakeUp()
	return struct{}{}, nil
}

// storeServed takes in that the store answered some host at a moment: tries that failed
// before it say nothing any more. The lock is held.
func (c *Controller) storeServed(at time.Time) {
	for id, refusedAt := range c.refused {
		if refusedAt.Before(at) {
			delete(c.refused, id)
		}
	}
}

// behind reports whether a watcher knows more than this host. The lock is held.
//
// The newest revisions alone may be the same after one of two changes was lost. The digest is that
// of all targets listed, so that any difference shows.
func (c *Controller) behind(b beat) bool {
	newest := c.state.Newest()
	return newest < b.Newest ||
		newest == b.Newest && c.state.Digest() != b.Digest ||
		!c.state.HasTargets() ||
		c.version() < b.Version ||
		c.state.Evacuations().Lacks(b.EvacuationsAt, b.Evacuations)
}

// version is that of the configuration at hand, or 0. The lock is held.
func (c *Controller) version() uint64 {
	if cfg := c.state.Config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// checkLater has this host ask for what it missed, if it is still behind after a moment:
// the change itself may be on its way behind the heartbeat. It asks the watcher whose
// heartbeat told so, and only if that does not answer another host of its zone, so that
// neither a silent host nor one that lacks the same costs it the time in which a leaving
// target must be known. What it is told is small: the parts that differ. The lock is held.
//
// Where hosts are many it is the other way round: a host that fell out of a large change
// takes dozens with it, and a watcher that has to tell them all what they missed fills
// its link. Most of the other hosts know, and one that does not says so in some ms.
//
// The function tells whether the host still lacks something; it is called with the lock
// held.
func (c *Controller) checkLater(from ports.HostID, still func() bool) {
	if c.checking {
		return
	}
	c.checking = true
	time.AfterFunc(catchUpAfter, func() {
		c.catchUp(from, still)
		c.mu.Lock()
		c.checking = false
		c.mu.Unlock()
	})
}

func (c *Controller) catchUp(from ports.HostID, still func() bool) {
	near, many, behind := c.stillBehind(still)
	if behind {
		c.logBehind(from)
	}
	order := []ports.HostID{from, near}
	if many {
		order = []ports.HostID{near, from}
	}
	for _, id := range order {
		if !behind {
			return
		}
		if id != "" && c.syncWithin(id, checkTimeout).reached && !many {
			return
		}
		_, _, behind = c.stillBehind(still)
	}
}

// stillBehind reports whether this host still lacks something, names another host of its
// zone, and reports whether there are many hosts.
func (c *Controller) stillBehind(still func() bool) (near ports.HostID, many, behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if others := c.neighbours(); len(others) > 0 {
		near = others[c.rng.IntN(len(others))]
	}
	return near, c.many(), still()
}

// onChanges takes in what a watcher saw.
func (c *Controller) onChanges(_ context.Context, from ports.HostID, s step) (struct{}, error) {
	c.count.steps.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(time.Now(), s.Value, from)
	c.compare(s.Value, from)
	return struct{}{}, nil
}

// compare has this host ask for what it lacks if its list is not what the sender's was
// after a step. The lock is held.
//
// While changes keep coming the digest of a heartbeat can hardly ever be compared.
func (c *Controller) compare(ch directory.Changes, from ports.HostID) {
	if ch.Digest != 0 && c.state.Newest() == ch.DigestAt && c.state.Digest() != ch.Digest {
		c.checkLater(from, func() bool { return true })
	}
}

// onSync tells another host all that this one knows.
func (c *Controller) onSync(_ context.Context, _ ports.HostID, req syncRequest) (syncReply, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard(req.Host)
	c.hear(req.Version)
	fresh := len(watchers.FreshWatchers(now, c.beats)) > 0 || c.watch != nil && c.watch.storeOK()
	if !fresh || !c.state.HasTargets() || c.state.Config() == nil {
		// At a start of all hosts the seeds are asked by all of them every 20 ms.
		return syncReply{Changes: c.whole(now, req)}, nil
	}
	if req.Refer && c.many() {
		return syncReply{Fresh: true, Ask: c.referTo(req.Host)}, nil
	}
	return syncReply{
		Fresh:   true,
		Changes: c.whole(now, req),
		Hosts:   peer.Pack(c.hostList()),
	}, nil
}

// wholeStep is all that this host knows, as it was encoded for a host that knows nothing.
type wholeStep struct {
	version, digest uint64
	evacuations     uint64
	newest          directory.Revision
	step            step
}

// whole returns what a host lacks. Hundreds of hosts that start at once lack everything: that is
// encoded once for all of them. The lock is held.
func (c *Controller) whole(now time.Time, req syncRequest) step {
	if req.Version > 0 || slices.ContainsFunc(req.Buckets, func(b uint64) bool { return b != 0 }) || !c.expiry.IsZero() {
		return peer.Pack(c.state.Whole(now, req.Version, req.Buckets))
	}
	is := wholeStep{
		version: c.version(), digest: c.state.Digest(), newest: c.state.Newest(),
		evacuations: c.state.Evacuations().Digest(),
	}
	have := c.wholeStep
	if have != nil && have.version == is.version && have.digest == is.digest && have.newest == is.newest && have.evacuations == is.evacuations {
		return have.step
	}
	all := c.state.Whole(now, 0, nil)
	packed, err := peer.PackOnce(all)
	if err != nil {
		c.deps.Log.Error("state not encoded", zap.Error(err))
		return peer.Pack(all)
	}
	packed.Value = directory.Changes{} // what was encoded is all that is sent
	is.step = packed
	c.wholeStep = &is
	return packed
}

// referred is how many hosts one that knows nothing yet is referred to: the first that
// answers tells it all, and some may be starting themselves.
const referred = 4

// referTo returns hosts of the asker's zone, this one last. The lock is held.
//
// Were all hosts that start together to ask the seeds for all they know, the seeds' links would be
// full of it.
func (c *Controller) referTo(asker directory.Host) []ports.HostID {
	var ids []ports.HostID
	for id, h := range c.hosts {
		if h.Zone == asker.Zone && id != asker.ID() && id != c.self {
			ids = append(ids, id)
		}
	}
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return append(ids[:min(referred, len(ids))], c.self)
}

// syncResult tells whether a host was reached, whether it is up to date, and whom to ask in
// its place.
type syncResult struct {
	reached, fresh bool
	ask            []ports.HostID
}

func (c *Controller) syncWithin(from ports.HostID, d time.Duration) syncResult {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return c.sync(ctx, from, false)
}

// sync asks a host for all it knows, or whom else to ask for it.
func (c *Controller) sync(ctx context.Context, from ports.HostID, refer bool) syncResult {
	c.count.syncs.Add(1)
	c.mu.Lock()
	req := syncRequest{Refer: refer, Host: c.deps.Self, Version: c.version(), Buckets: c.state.Buckets()}
	c.mu.Unlock()
	reply, err := peer.Call[syncReply](ctx, c.deps.Link, from, kindSync, req)
	if err != nil {
		c.deps.Log.Debug("peer did not tell what it knows", zap.String("peer", string(from)), zap.Error(err))
		return syncResult{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addHosts(reply.Hosts.Value...)
	c.merge(time.Now(), reply.Changes.Value, from)
	return syncResult{reached: true, fresh: reply.Fresh, ask: reply.Ask}
}
