package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/peer"
	"github.com/cactusproxy/cactusproxy/policy/rendezvous"
	"github.com/cactusproxy/cactusproxy/ports"
)

const (
	// followers is how many hosts follow each other as owners of a part: with a third of the
	// hosts down, one part in a thousand has none left.
	followers = 6
	// aliveTimeout bounds the question to the host before, aliveFor is how long its answer
	// holds.
	aliveTimeout = 60 * time.Millisecond
	aliveFor     = 200 * time.Millisecond
	// avoidFor is how long a host that did not answer is not asked again. It doubles with
	// each time, up to maxAvoidFor.
	avoidFor    = 250 * time.Millisecond
	maxAvoidFor = time.Second
)

// usualHandOver is how long a part gains nothing once it has come to another host: until the one
// before has noticed that it is cut off, or that this one is back. A host that watched the store
// notices latest, when a watch is overdue.
const usualHandOver = 1400 * time.Millisecond

// ranks are the owners of parts by the list of hosts at hand.
type ranks struct {
	version uint64
	// since is when the list was first seen to be as it is.
	since time.Time
	list  map[partKey][]ports.HostID
}

// partKey names a part.
type partKey struct{ name, zone string }

// answer is what a host last answered, or that it did not.
type answer struct {
	at   time.Time
	owns bool
	// fails is how often in a row it did not answer.
	fails int
}

// avoid returns how long the host is not asked again.
func (a answer) avoid() time.Duration {
	return min(avoidFor<<min(max(a.fails-1, 0), 8), maxAvoidFor)
}

// owners returns the hosts that own a zone's part, each if those before it can not.
func (c *Controller) owners(name, zone string) []ports.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshRanks(time.Now())
	key := partKey{name, zone}
	ids, found := c.ranks.list[key]
	if !found {
		ids = rendezvous.Ranked(name, zone, followers, c.deps.Board.Members.Load().Members)
		c.ranks.list[key] = ids
	}
	return ids
}

// refreshRanks begins anew once the list of hosts has changed. The lock is held.
func (c *Controller) refreshRanks(now time.Time) {
	version := c.deps.Board.Members.Version()
	if c.ranks.list != nil && c.ranks.version == version {
		return
	}
	c.ranks = ranks{version: version, since: now, list: make(map[partKey][]ports.HostID)}
}

// note remembers whether a host answered.
func (c *Controller) note(id ports.HostID, answered bool) { c.noteOwns(id, answered, answered) }

// noteOwns remembers whether a host answered, and whether it can own parts.
func (c *Controller) noteOwns(id ports.HostID, answered, owns bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := answer{at: now, owns: owns}
	if !answered {
		a.fails = c.heard[id].fails + 1
	}
	c.heard[id] = a
}

// avoided reports whether a host did not answer of late, or can own nothing. Once it has been
// avoided for long enough, it is asked again in the background: a request that waited for that
// would come late at each host that has yet to find out.
func (c *Controller) avoided(id ports.HostID) bool {
	c.mu.Lock()
	a, heard := c.heard[id]
	c.mu.Unlock()
	if !heard || a.owns {
		return false
	}
	if time.Since(a.at) >= a.avoid() {
		go c.check(id)
	}
	return true
}

// alive reports whether another host can own parts, by its own word.
func (c *Controller) alive(id ports.HostID) bool {
	c.mu.Lock()
	a, heard := c.heard[id]
	c.mu.Unlock()
	if heard && a.owns && time.Since(a.at) < aliveFor {
		return true
	}
	return !c.avoided(id) && c.check(id)
}

// check asks a host whether it can own parts.
func (c *Controller) check(id ports.HostID) bool {
	owns, _, _ := c.checks.Do(string(id), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
		defer cancel()
		reply, err := peer.Call[aliveReply](ctx, c.deps.Link, id, c.deps.Kind+kindAlive, aliveRequest{})
		c.noteOwns(id, err == nil, reply.Owns)
		return err == nil && reply.Owns, nil
	})
	return owns.(bool)
}

func (c *Controller) onAlive(context.Context, ports.HostID, aliveRequest) (aliveReply, error) {
	return aliveReply{Owns: c.deps.Board.Members.Load().Complete}, nil
}

// mayOwn reports whether this host can own parts: it knows all hosts, and is not on the smaller
// side of a cut. A host that knows few takes itself for the owner of everything; hosts that are
// cut off together would own all parts once more among themselves.
//
// Hosts on the smaller side have no word of the store. If the store is out for all, nobody has:
// then those own parts that reach most others.
func (c *Controller) mayOwn() bool {
	m := c.deps.Board.Members.Load()
	switch {
	case !m.Complete:
		return false
	case len(m.Members) <= 1 || c.deps.StoreWatched():
		return true
	default:
		return c.reachesMost(m)
	}
}

const (
	// askedOfAll is how many others a host asks to learn whether it reaches most of them, and
	// reachFor how long the answer holds.
	askedOfAll = 16
	reachFor   = 500 * time.Millisecond
)

// reachesMost finds out whether most other hosts answer. A host that they do not answer empties
// its parts: others own them by now.
func (c *Controller) reachesMost(m *blackboard.Members) bool {
	c.mu.Lock()
	known, most := time.Since(c.askedMostAt) < reachFor, c.mostAnswer
	c.mu.Unlock()
	if known {
		return most
	}
	reaches, _, _ := c.checks.Do("", func() (any, error) {
		most := c.askSome(someOthers(m, askedOfAll))
		c.mu.Lock()
		c.askedMostAt, c.mostAnswer = time.Now(), most
		c.mu.Unlock()
		if !most {
			c.emptyAll(time.Now(), "cut off")
		}
		return most, nil
	})
	return reaches.(bool)
}

// askSome reports whether more than half of some hosts answer.
func (c *Controller) askSome(ids []ports.HostID) bool {
	answers := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { answers <- c.check(id) }()
	}
	answered := 0
	for range ids {
		if <-answers {
			answered++
		}
	}
	return 2*answered > len(ids)
}

// someOthers returns some hosts but this one, at random.
func someOthers(m *blackboard.Members, n int) (ids []ports.HostID) {
	for _, i := range rand.Perm(len(m.Members)) {
		if id := m.Members[i].Host.ID; id != m.Self && len(ids) < n {
			ids = append(ids, id)
		}
	}
	return ids
}

// owner returns the host that owns a zone's part of a quota as far as this host
// can tell, and its place among those that may; an empty name if it can not tell. The hosts
// before this one are asked at once.
func (c *Controller) owner(name, zone string) (id ports.HostID, place int) {
	owners := c.owners(name, zone)
	place = slices.Index(owners, c.self)
	if place < 0 {
		place = len(owners)
	}
	lives := make([]bool, place)
	var wait sync.WaitGroup
	for i, id := range owners[:place] {
		wait.Go(func() { lives[i] = c.alive(id) })
	}
	wait.Wait()
	return c.firstOf(owners, slices.Index(lives, true))
}

// ownerByNow is owner by what this host knows at the moment. It asks nobody: who lends to
// another zone must answer soon.
func (c *Controller) ownerByNow(name, zone string) (id ports.HostID, place int) {
	owners := c.owners(name, zone)
	for i, id := range owners {
		if id == c.self {
			break
		}
		if !c.avoided(id) {
			return c.firstOf(owners, i)
		}
	}
	return c.firstOf(owners, -1)
}

// firstOf returns the owner with a place; a negative place stands for this host, if it is among
// them and can own parts.
func (c *Controller) firstOf(owners []ports.HostID, place int) (ports.HostID, int) {
	if place < 0 {
		place = slices.Index(owners, c.self)
		if place < 0 || !c.mayOwn() {
			return "", 0
		}
	}
	return owners[place], place
}
