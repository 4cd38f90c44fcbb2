package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Run starts the components of a daemon and runs them until await returns. It returns the
// error of a component that failed, or else that of await.
//
// Await must return once the daemon has stopped, or when its context ends because a component
// failed. The end of ctx alone stops no component: await decides when to stop them.
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
