package memstore

import (
	"maps"
	"slices"

	"github.com/cactusproxy/cactusproxy/directory"
	"github.com/cactusproxy/cactusproxy/ports"
	"github.com/cactusproxy/cactusproxy/routing"
)

// Snapshot is a copy of the store's data at one point in time.
type Snapshot struct {
	revision, configAt directory.Revision
	config             *routing.Config
	targets            map[ports.HostID]directory.Target
	evacuations        map[string]directory.Evacuation
	hosts              []directory.Host
}

// Snapshot returns a copy of the current data.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		revision: s.revision, configAt: s.configAt, config: s.config, hosts: slices.Clone(s.hosts),
		targets: maps.Clone(s.targets), evacuations: maps.Clone(s.evacuations),
	}
}

// Restore replaces the data with an older snapshot, in the next era, as when the platform
// restores its store from a backup.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	inEra := func(at directory.Revision) directory.Revision { return directory.NewRevision(era, at.Number()) }
	s.revision, s.configAt, s.config, s.hosts = inEra(c.revision), inEra(c.configAt), c.config, c.hosts
	s.targets = make(map[ports.HostID]directory.Target)
	for id, t := range c.targets {
		t.Revision = inEra(t.Revision)
		s.targets[id] = t
	}
	s.evacuations = make(map[string]directory.Evacuation)
	for zone, o := range c.evacuations {
		o.Revision = inEra(o.Revision)
		s.evacuations[zone] = o
	}
	s.targetLog, s.evacuationLog, s.historyStart = nil, nil, directory.NewRevision(era, 0)
	s.notifyChange()
}
