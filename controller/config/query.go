package config

import (
	"context"
	"slices"
	"time"

	"github.com/cactusproxy/cactusproxy/blackboard"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/ports"
)

// Plan is the result of a dry run of Apply.
type Plan struct {
	Workspace string `json:"workspace"`
	// Base is the workspace version to pass to Apply.
	Base        uint64               `json:"base"`
	Differences []declare.Difference `json:"differences"`
	// Problems are set, and Differences empty, if Apply would reject the declaration.
	Problems declare.Problems `json:"problems,omitempty"`
}

// Plan compares a declaration with the table without changing it. The error comes from
// the platform.
func (c *Controller) Plan(ctx context.Context, workspace File, template *File) (Plan, error) {
	p, problems := newApplyProposal(workspace, template)
	if problems != nil {
		return Plan{Problems: problems}, nil
	}
	b, err := c.readBase(ctx, Request{}, p)
	if err != nil {
		return Plan{}, err
	}
	out := Plan{Workspace: p.workspace(), Base: b.workspace.Version}
	d, err := p.build(ctx, b.extraRows)
	if err != nil {
		out.Problems = asProblems(err)
		return out, nil
	}
	out.Problems, err = c.hostNameConflicts(ctx, b.head.Sequence, d.workspace)
	if err != nil || out.Problems != nil {
		return out, err
	}
	var current *declare.Workspace
	if b.workspace.Version != 0 {
		current = &b.current.Workspace
	}
	out.Differences = declare.Diff(current, &d.workspace)
	return out, nil
}

// HostStatus is the configuration state of one host.
type HostStatus struct {
	ID       ports.HostID `json:"id"`
	Zone     string       `json:"zone"`
	State    string       `json:"state"`
	Sequence uint64       `json:"sequence"`
}

// WorkspaceStatus is a workspace in this host's active configuration.
type WorkspaceStatus struct {
	Name            string `json:"name"`
	Version         uint64 `json:"version"`
	Template        string `json:"template"`
	TemplateVersion uint64 `json:"templateVersion"`
}

// Status reports which hosts have applied a change.
type Status struct {
	// Sequence is the change asked about, LocalSequence that of this host's
	// configuration.
	Sequence      uint64 `json:"sequence"`
	LocalSequence uint64 `json:"own"`
	Confirmed     bool   `json:"confirmed"`
	// InForce is set if this host has applied the change and no host is pending.
	InForce bool `json:"inForce"`
	// Pending are the hosts that haven't applied the change. Leaving hosts are not
	// included: they take no new calls.
	Pending    []ports.HostID    `json:"pending,omitempty"`
	Hosts      []HostStatus      `json:"hosts"`
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
}

// Status reports on a sequence number; 0 stands for that of this host's configuration.
func (c *Controller) Status(ctx context.Context, sequence uint64) Status {
	cfg := c.Board.Config.Load()
	if sequence == 0 {
		sequence = cfg.Sequence
	}
	out := Status{Sequence: sequence, LocalSequence: cfg.Sequence, Confirmed: c.Fresh()}
	out.Hosts = c.hostStatus(ctx, sequence)
	for _, h := range out.Hosts {
		if h.Sequence < sequence && h.State != stateNames[blackboard.MemberLeaving] {
			out.Pending = append(out.Pending, h.ID)
		}
	}
	out.InForce = len(out.Pending) == 0 && cfg.Sequence >= sequence
	for _, w := range cfg.Workspaces {
		out.Workspaces = append(out.Workspaces, WorkspaceStatus{w.Name, w.Version, w.Template, w.TemplateVersion})
	}
	return out
}

var stateNames = map[blackboard.MemberState]string{
	blackboard.MemberLive:      "live",
	blackboard.MemberSuspected: "suspected",
	blackboard.MemberLeaving:   "leaving",
}

// hostStatus lists the hosts. Heartbeats lag, so hosts whose last heartbeat is below the
// sequence number are queried directly.
func (c *Controller) hostStatus(ctx context.Context, sequence uint64) []HostStatus {
	members := c.Board.Members.Load().Members
	out := make([]HostStatus, len(members))
	var behind []ports.HostID
	for i, m := range members {
		out[i] = HostStatus{ID: m.Host.ID, Zone: m.Host.Zone, State: stateNames[m.State], Sequence: m.ConfigSequence}
		if m.Host.ID == c.Link.Self() {
			out[i].Sequence = c.Sequence()
		} else if m.ConfigSequence < sequence {
			behind = append(behind, m.Host.ID)
		}
	}
	for _, a := range c.queryHeads(ctx, behind) {
		i := slices.IndexFunc(out, func(h HostStatus) bool { return h.ID == a.from })
		out[i].Sequence = max(out[i].Sequence, a.Sequence)
	}
	return out
}

// WaitInForce returns once the change is in force on every host that isn't leaving, or
// with the last status when ctx ends.
func (c *Controller) WaitInForce(ctx context.Context, sequence uint64) Status {
	for {
		st := c.Status(ctx, sequence)
		if st.InForce || sleep(ctx, c.Timings.ClockInterval) != nil {
			return st
		}
	}
}

// maxHistory bounds the changes that History returns.
const maxHistory = 200

// History returns the newest changes of a workspace, or of all if the name is empty, the
// newest first. A limit that is not positive or above 200 stands for 200. Sources are
// included only if a workspace is named. The error comes from the platform.
func (c *Controller) History(ctx context.Context, workspace string, limit int) ([]Change, error) {
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	var out []Change
	var err error
	if workspace == "" {
		out, err = c.allHistory(ctx, limit)
	} else {
		out, err = c.workspaceHistory(ctx, workspace, limit)
	}
	slices.Reverse(out)
	return out, err
}

func (c *Controller) allHistory(ctx context.Context, limit int) ([]Change, error) {
	head, err := c.readHead(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := c.scan(ctx, prefixLog, keyLog(head.Sequence-min(head.Sequence, uint64(limit))))
	if err != nil {
		return nil, err
	}
	var out []Change
	for _, r := range rows[:min(limit, len(rows))] {
		ch, err := decodeRow[Change](r)
		if err != nil {
			return nil, err
		}
		out = append(out, ch.withoutSource())
	}
	return out, nil
}

func (c *Controller) workspaceHistory(ctx context.Context, name string, limit int) ([]Change, error) {
	rows, err := c.get(ctx, keyWorkspace(name))
	if err != nil {
		return nil, err
	}
	newest := rows[0].Version
	rows, err = c.scan(ctx, prefixVersions(name), keyVersion(name, newest-min(newest, uint64(limit))))
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, r := range rows[:min(limit, len(rows))] {
		sequence, err := decodeRow[uint64](r)
		if err != nil {
			return nil, err
		}
		keys = append(keys, keyLog(sequence))
	}
	return c.readChanges(ctx, keys)
}

func (c *Controller) readChanges(ctx context.Context, keys []string) ([]Change, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := c.get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	out := make([]Change, len(rows))
	for i, r := range rows {
		if out[i], err = decodeRow[Change](r); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
