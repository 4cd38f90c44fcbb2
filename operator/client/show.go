package client

import (
	"fmt"
	"time"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/declare"
	"github.com/cactusproxy/cactusproxy/operator"
)

func (c *command) showPlan(p config.Plan) int {
	if len(p.Problems) > 0 {
		return c.showProblems(p.Problems)
	}
	for _, d := range p.Differences {
		fmt.Fprintln(c.out, d)
	}
	if len(p.Differences) == 0 {
		fmt.Fprintf(c.out, "workspace %s is as declared, at version %d\n", p.Workspace, p.Base)
		return ExitDone
	}
	fmt.Fprintf(c.out, "%d differences; apply with --base %d\n", len(p.Differences), p.Base)
	return ExitDone
}

func (c *command) showProblems(ps declare.Problems) int {
	for _, p := range ps {
		fmt.Fprintln(c.err, p)
	}
	return ExitFailed
}

// showChange prints the result of a change and returns the exit code.
func (c *command) showChange(id string, res operator.ChangeReply) int {
	switch res.Result {
	case config.ResultApplied:
		fmt.Fprintln(c.out, "applied:", describe(*res.Change))
	case config.ResultUnchanged:
		fmt.Fprintf(c.out, "unchanged: workspace %s is as declared, at version %d\n", res.Change.Workspace.Name, res.Change.Workspace.Version)
	case config.ResultConflict:
		fmt.Fprintln(c.err, "conflict: nothing was changed;", otherChange(res.Conflicting))
		return ExitConflict
	case config.ResultInvalid:
		return c.showProblems(res.Problems)
	case config.ResultUncertain:
		fmt.Fprintf(c.err, "uncertain: the change may have been applied (%s)\nfind out with the same command and --id %s\n", res.Detail, id)
		return ExitUncertain
	default:
		fmt.Fprintf(c.err, "%s: nothing was changed (%s)\n", res.Result, res.Detail)
		return ExitFailed
	}
	return c.showWait(res.Status)
}

func (c *command) showWait(st *config.Status) int {
	if st == nil {
		return ExitDone
	}
	if st.InForce {
		fmt.Fprintf(c.out, "in force on all %d hosts\n", len(st.Hosts))
		return ExitDone
	}
	c.showStatus(*st)
	fmt.Fprintf(c.err, "not yet in force on %d hosts; the change stays and will reach them\n", len(st.Pending))
	return ExitFailed
}

func (c *command) showStatus(st config.Status) {
	fmt.Fprintf(c.out, "sequence=%d own=%d confirmed=%t in_force=%t pending=%d\n", st.Sequence, st.LocalSequence, st.Confirmed, st.InForce, len(st.Pending))
	for _, h := range st.Hosts {
		fmt.Fprintf(c.out, "host=%s zone=%s state=%s sequence=%d\n", h.ID, h.Zone, h.State, h.Sequence)
	}
	for _, w := range st.Workspaces {
		fmt.Fprintf(c.out, "workspace=%s version=%d template=%s/%d\n", w.Name, w.Version, w.Template, w.TemplateVersion)
	}
}

func otherChange(ch *config.Change) string {
	if ch == nil {
		return "the workspace does not exist: use --base 0"
	}
	return "the workspace is at: " + describe(*ch)
}

// describe formats a change on one line.
func describe(ch config.Change) string {
	line := fmt.Sprintf("sequence=%d workspace=%s version=%d who=%q when=%s change=%s",
		ch.Sequence, ch.Workspace.Name, ch.Workspace.Version, ch.Operator, ch.CommittedAt.Format(time.RFC3339), ch.ID)
	if ch.RollbackTo > 0 {
		line += fmt.Sprintf(" rollback_to=%d", ch.RollbackTo)
	}
	return line
}
