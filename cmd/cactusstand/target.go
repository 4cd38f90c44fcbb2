package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	standin "github.com/cactusproxy/cactusproxy/internal/standin/target"
	"github.com/cactusproxy/cactusproxy/ports"
)

// targetArgs holds the arguments of cactusstand target.
type targetArgs struct {
	ID         string        `arg:"--id,required" help:"host ID of the target"`
	Listen     string        `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port for calls"`
	Admin      string        `arg:"--admin" help:"IP address and port of the admin interface, which also serves while the target is down"`
	Zone       string        `arg:"--zone" default:"zone-a" help:"availability zone"`
	Workspace  string        `arg:"--workspace" help:"workspace the target belongs to"`
	Service    string        `arg:"--service" help:"service the target belongs to"`
	Slots      int           `arg:"--slots" default:"2" help:"calls that run concurrently"`
	Queue      int           `arg:"--queue" default:"16" help:"calls that may wait for a slot"`
	MaxConns   int           `arg:"--max-conns" default:"200" help:"connections; 0 is no limit"`
	HealthPath string        `arg:"--health-path" default:"/healthz" help:"path of the health endpoint"`
	ProbeTime  time.Duration `arg:"--probe-time" default:"6ms" help:"time that a health request occupies a slot"`
	Mean       time.Duration `arg:"--service-mean" default:"5ms" help:"mean service time"`
	Sigma      float64       `arg:"--service-sigma" default:"0.8" help:"sigma of the lognormal service time; 0 is constant"`
	ColdStart  time.Duration `arg:"--cold-start" help:"warm-up time from the start to full speed"`
	ColdFactor float64       `arg:"--cold-factor" default:"5" help:"slowdown factor at the start"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the service times"`
	Register   string        `arg:"--register" help:"URL of the platform to register with"`
	Token      string        `arg:"--token,env:CACTUSSTAND_TOKEN" help:"bearer token for the platform"`
	Grace      time.Duration `arg:"--grace" default:"5s" help:"time from SIGTERM until new calls are refused"`
}

func (a targetArgs) options() standin.Options {
	return standin.Options{
		ID:         ports.HostID(a.ID),
		Slots:      a.Slots,
		Queue:      a.Queue,
		MaxConns:   a.MaxConns,
		HealthPath: a.HealthPath,
		ProbeTime:  a.ProbeTime,
		Seed:       a.Seed,
		Behaviour: standin.Behaviour{
			ServiceMean:  a.Mean,
			ServiceSigma: a.Sigma,
			ColdStart:    a.ColdStart,
			ColdFactor:   a.ColdFactor,
		},
	}
}

// serveTarget serves until ctx ends, then drains and deregisters.
func serveTarget(ctx context.Context, a targetArgs, log *zap.Logger) error {
	tg := standin.New(a.options())
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log = log.With(zap.String("target", a.ID))
	log.Info("target listening", zap.Stringer("addr", l.Addr()))
	served := make(chan error, 1)
	go func() { served <- tg.Serve(l) }()
	stopAdmin, err := serveAdmin(a.Admin, tg, log)
	if err != nil {
		tg.Close()
		return err
	}
	defer stopAdmin()

	list := newRegistrar(a, l.Addr().String())
	// A stop meanwhile waits for the platform's reply: the entry may have been written.
	if err := list.put(context.WithoutCancel(ctx), ports.HostLive); err != nil {
		tg.Close()
		return err
	}
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return drain(context.WithoutCancel(ctx), a, tg, list, log)
}

// drain announces the shutdown to callers and the platform, keeps accepting requests
// for the grace period, and completes those in flight. An unavailable platform does
// not prevent the shutdown, since the target's responses announce it too.
func drain(ctx context.Context, a targetArgs, tg *standin.Target, list *registrar, log *zap.Logger) error {
	tg.Drain(a.Grace)
	log.Info("target leaves", zap.Duration("grace", a.Grace))
	if err := list.put(ctx, ports.HostLeaving); err != nil {
		log.Warn("failed to register the target as leaving", zap.Error(err))
	}
	time.Sleep(a.Grace)
	end, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := tg.Shutdown(end); err != nil {
		return errors.Wrap(err, "finish calls in flight")
	}
	if err := list.remove(ctx); err != nil {
		log.Warn("failed to remove the target from the host list", zap.Error(err))
	}
	log.Info("target stopped", zap.Int("runs", len(tg.Runs())))
	return nil
}

// serveAdmin serves the admin interface on its own listener, or does nothing if addr
// is empty.
func serveAdmin(addr string, tg *standin.Target, log *zap.Logger) (stop func(), err error) {
	if addr == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the admin interface")
	}
	log.Info("admin interface listening", zap.Stringer("addr", l.Addr()))
	hs := &http.Server{Handler: http.StripPrefix("/standin", tg.Admin()), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = hs.Serve(l) }()
	return func() { _ = hs.Close() }, nil
}
