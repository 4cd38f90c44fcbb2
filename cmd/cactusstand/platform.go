package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	standin "github.com/cactusproxy/cactusproxy/internal/standin/platform"
	"github.com/cactusproxy/cactusproxy/internal/standin/store"
)

// platformArgs holds the arguments of cactusstand platform.
type platformArgs struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:9700" help:"IP address and port"`
	Token   string        `arg:"--token,env:CACTUSSTAND_TOKEN" help:"bearer token that requests need; none if empty"`
	Writes  int           `arg:"--writes" default:"400" help:"writes per second; 0 is no limit"`
	Reads   int           `arg:"--reads" default:"2000" help:"reads per second; 0 is no limit"`
	HostLag time.Duration `arg:"--host-lag" default:"2s" help:"lag of the host list"`
}

// readHeaderTimeout closes connections that send no complete request header.
const readHeaderTimeout = time.Minute

// servePlatform serves until ctx ends, then completes the requests in flight.
func servePlatform(ctx context.Context, a platformArgs, log *zap.Logger) error {
	srv := standin.New(standin.Options{
		Store: store.New(store.Limits{WritesPerSecond: a.Writes, ReadsPerSecond: a.Reads}),
		Token: a.Token,
	})
	srv.SetFaults(standin.Faults{HostLag: a.HostLag})
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log.Info("platform listening", zap.Stringer("addr", l.Addr()))
	hs := &http.Server{Handler: srv.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(l) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := hs.Shutdown(end); err != nil {
		return errors.Wrap(err, "stop")
	}
	log.Info("platform stopped")
	return nil
}
