package directpath

import "github.com/cactusproxy/cactusproxy/ports"

// cutFromTargets is the number of targets whose connections must have failed since this host last
// opened one for it to be taken for cut off.
const cutFromTargets = 2

// Host is what a host knows of its own paths to all targets together. It is not safe for
// concurrent use.
//
// It tells a host that is cut off from a target that turns connections away because it has too
// many, or is down: connections to others are opened meanwhile. When all hosts start at once, most
// targets turn some connections away, and a detour for each would bring them more.
type Host struct {
	// failed are the targets whose connections failed since one to any target was opened.
	failed map[ports.HostID]bool
}

// Failed records that a connection to a target was refused or reset.
func (h *Host) Failed(target ports.HostID) {
	if len(h.failed) >= cutFromTargets {
		return
	}
	if h.failed == nil {
		h.failed = make(map[ports.HostID]bool)
	}
	h.failed[target] = true
}

// Opened records that a connection to some target was opened.
func (h *Host) Opened() { clear(h.failed) }

// CutOff reports whether this host seems to be cut off.
func (h *Host) CutOff() bool { return len(h.failed) >= cutFromTargets }
