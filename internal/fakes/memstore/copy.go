package memstore

import (
	"maps"
	"slices"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Snapshot is what the record held at a moment.
type Snapshot struct {
	revision, configAt directory.Revision
	config             *routing.Config
	targets            map[ports.HostID]directory.Target
	evacuations        map[string]directory.Evacuation
	hosts              []directory.Host
}

// Snapshot returns what the record holds.
func (r *Store) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{
		revision: r.revision, configAt: r.configAt, config: r.config, hosts: slices.Clone(r.hosts),
		targets: maps.Clone(r.targets), evacuations: maps.Clone(r.evacuations),
	}
}

// Restore has the record come back from an older copy, in the next era.
func (r *Store) Restore(c Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	era := r.revision.Era() + 1
	now := func(at directory.Revision) directory.Revision { return directory.NewRevision(era, at.Number()) }
	r.revision, r.configAt, r.config, r.hosts = now(c.revision), now(c.configAt), c.config, c.hosts
	r.targets = make(map[ports.HostID]directory.Target)
	for id, t := range c.targets {
		t.Revision = now(t.Revision)
		r.targets[id] = t
	}
	r.evacuations = make(map[string]directory.Evacuation)
	for zone, o := range c.evacuations {
		o.Revision = now(o.Revision)
		r.evacuations[zone] = o
	}
	r.log, r.evacuationLog, r.cutAt = nil, nil, directory.NewRevision(era, 0)
	r.announce()
}
