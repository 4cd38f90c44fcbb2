package client

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/cactusproxy/cactusproxy/controller/config"
	"github.com/cactusproxy/cactusproxy/internal/version"
	"github.com/cactusproxy/cactusproxy/operator"
)

// Exit codes of cactusctl.
const (
	ExitDone      = 0
	ExitFailed    = 1
	ExitUsage     = 2
	ExitConflict  = 3
	ExitUncertain = 4
)

type planArgs struct {
	File     string `arg:"positional,required" placeholder:"WORKSPACE-FILE"`
	Template string `arg:"--template" placeholder:"FILE" help:"template file; not needed once its version was applied"`
}

type changeArgs struct {
	Base *uint64 `arg:"--base,required" placeholder:"VERSION" help:"workspace version that plan showed; 0 for a new workspace"`
	ID   string  `arg:"--id" help:"change ID, to find out about an uncertain change"`
	Wait bool    `arg:"--wait" help:"wait until every live host has the change in force"`
}

type applyArgs struct {
	planArgs
	changeArgs
}

type rollbackArgs struct {
	Workspace string `arg:"positional,required"`
	To        uint64 `arg:"--to,required" placeholder:"VERSION" help:"workspace version to bring back"`
	changeArgs
}

type statusArgs struct {
	Sequence uint64 `arg:"--sequence" help:"change to ask about; default the newest"`
}

type historyArgs struct {
	Workspace string `arg:"positional" help:"default all workspaces"`
	Limit     int    `arg:"--limit" default:"20"`
}

type explainArgs struct {
	ID    string   `arg:"--id,required" placeholder:"REQUEST" help:"the ID that the caller gave the request"`
	Files []string `arg:"positional,required" placeholder:"LOG" help:"logs of entry hosts"`
}

type arguments struct {
	Explain  *explainArgs  `arg:"subcommand:explain" help:"find in logs what became of a request, and why"`
	Plan     *planArgs     `arg:"subcommand:plan" help:"show what applying a workspace file would change"`
	Apply    *applyArgs    `arg:"subcommand:apply" help:"apply a workspace file"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show which hosts have a change in force"`
	History  *historyArgs  `arg:"subcommand:history" help:"show who changed what and when"`
	Rollback *rollbackArgs `arg:"subcommand:rollback" help:"bring back an earlier version as a new change"`

	Addr      string        `arg:"--addr,env:CACTUSCTL_ADDR" placeholder:"HOST:PORT" help:"operators' address of any host"`
	TokenFile string        `arg:"--token-file,env:CACTUSCTL_TOKEN_FILE" placeholder:"FILE" help:"file with the token that changes need"`
	As        string        `arg:"--as,env:CACTUSCTL_AS" placeholder:"NAME" help:"your name, for the history"`
	Timeout   time.Duration `arg:"--timeout" default:"30s" help:"longest to wait, --wait included"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "cactusctl changes and shows the configuration of cactusproxy.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 usage, 3 conflict with another operator's change, 4 uncertain."
}

// Version is shown by --version.
func (arguments) Version() string { return "cactusctl " + version.String() }

// command is one run of cactusctl.
type command struct {
	client   *Client
	args     arguments
	out, err io.Writer
}

// Main runs cactusctl with its command-line arguments and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "cactusctl", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "cactusctl:", err)
		return ExitFailed
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitDone
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, arguments{}.Version())
		return ExitDone
	}
	if err == nil {
		err = a.check()
	}
	if err != nil {
		_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "cactusctl:", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	c := &command{client: &Client{Addr: a.Addr}, args: a, out: stdout, err: stderr}
	return c.run(ctx)
}

func (a *arguments) check() error {
	switch {
	case a.Explain != nil:
		return nil
	case a.Plan == nil && a.Apply == nil && a.Status == nil && a.History == nil && a.Rollback == nil:
		return errors.New("want one of plan, apply, status, history, rollback, explain")
	case a.Addr == "":
		return errors.New("--addr is required")
	case (a.Apply != nil || a.Rollback != nil) && a.As == "":
		return errors.New("--as is required for changes")
	case (a.Apply != nil || a.Rollback != nil) && a.TokenFile == "":
		return errors.New("--token-file is required for changes")
	}
	return nil
}

func (c *command) run(ctx context.Context) int {
	if c.args.TokenFile != "" {
		token, err := os.ReadFile(c.args.TokenFile)
		if err != nil {
			return c.fail(err)
		}
		c.client.Token = strings.TrimSpace(string(token))
	}
	switch {
	case c.args.Explain != nil:
		return c.explain(c.args.Explain)
	case c.args.Plan != nil:
		return c.plan(ctx, c.args.Plan)
	case c.args.Apply != nil:
		return c.apply(ctx, c.args.Apply)
	case c.args.Rollback != nil:
		return c.rollback(ctx, c.args.Rollback)
	case c.args.History != nil:
		return c.history(ctx, c.args.History)
	default:
		return c.status(ctx, c.args.Status)
	}
}

func (c *command) fail(err error) int {
	fmt.Fprintln(c.err, "cactusctl:", err)
	return ExitFailed
}

// files reads the workspace file and, if given, the template file.
func (a planArgs) files() (config.File, *config.File, error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return config.File{}, nil, err
	}
	workspace := config.File{Name: a.File, Text: string(text)}
	if a.Template == "" {
		return workspace, nil, nil
	}
	text, err = os.ReadFile(a.Template)
	return workspace, &config.File{Name: a.Template, Text: string(text)}, err
}

// changeID returns the ID given on the command line, or a new one.
func (a changeArgs) changeID() string {
	if a.ID != "" {
		return a.ID
	}
	return ulid.Make().String()
}

// waitMillis returns how long the host may wait for a change to be in force. Half of
// the timeout is left for the host to reply before the client gives up.
func (c *command) waitMillis(a changeArgs) int64 {
	if !a.Wait {
		return 0
	}
	return max(c.args.Timeout/2, 1).Milliseconds()
}

func (c *command) plan(ctx context.Context, a *planArgs) int {
	workspace, template, err := a.files()
	if err != nil {
		return c.fail(err)
	}
	plan, err := c.client.Plan(ctx, operator.PlanRequest{Workspace: workspace, Template: template})
	if err != nil {
		return c.fail(err)
	}
	return c.showPlan(plan)
}

func (c *command) apply(ctx context.Context, a *applyArgs) int {
	workspace, template, err := a.files()
	if err != nil {
		return c.fail(err)
	}
	req := operator.ApplyRequest{
		ID: a.changeID(), Who: c.args.As, Base: a.Base,
		Workspace: workspace, Template: template, WaitMillis: c.waitMillis(a.changeArgs),
	}
	res, err := c.client.Apply(ctx, req)
	if err != nil {
		return c.fail(err)
	}
	return c.showChange(req.ID, res)
}

func (c *command) rollback(ctx context.Context, a *rollbackArgs) int {
	req := operator.RollbackRequest{
		ID: a.changeID(), Who: c.args.As, Base: a.Base,
		Workspace: a.Workspace, To: a.To, WaitMillis: c.waitMillis(a.changeArgs),
	}
	res, err := c.client.Rollback(ctx, req)
	if err != nil {
		return c.fail(err)
	}
	return c.showChange(req.ID, res)
}

func (c *command) status(ctx context.Context, a *statusArgs) int {
	st, err := c.client.Status(ctx, a.Sequence)
	if err != nil {
		return c.fail(err)
	}
	c.showStatus(st)
	return ExitDone
}

func (c *command) history(ctx context.Context, a *historyArgs) int {
	changes, err := c.client.History(ctx, a.Workspace, a.Limit)
	if err != nil {
		return c.fail(err)
	}
	for _, ch := range changes {
		fmt.Fprintln(c.out, describe(ch))
	}
	return ExitDone
}
