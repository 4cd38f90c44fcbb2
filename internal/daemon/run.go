package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Run starts the parts of a daemon and has them work until await returns, whose error it
// returns then, or that of a part that failed. Await returns once the daemon has stopped, or
// when work ends: a part has failed. The end of ctx ends no part by itself.
func Run(ctx context.Context, start func(work context.Context, g *errgroup.Group), await func(work context.Context) error) error {
	work, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	g, work := errgroup.WithContext(work)
	start(work, g)
	stopped := await(work)
	halt()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return stopped
}
