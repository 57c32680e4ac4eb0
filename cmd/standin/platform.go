package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/lister"
	"gitlab.com/greengagewall/greengagewall/internal/standin/logger"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

type logCommand struct {
	Listen    netip.AddrPort `arg:"--listen" default:"127.0.0.1:7100" help:"address to listen on"`
	Retention time.Duration  `arg:"--retention" default:"1h" help:"age at which records are dropped"`
	Rate      int            `arg:"--rate" default:"400" help:"appends a second over all streams"`
}

func (c *logCommand) run(ctx context.Context) error {
	return serve(ctx, c.Listen, logger.NewServer(logger.New(c.Retention, c.Rate)))
}

type listCommand struct {
	Listen netip.AddrPort `arg:"--listen" default:"127.0.0.1:7200" help:"address to listen on"`
	Lag    time.Duration  `arg:"--lag" default:"500ms" help:"time until a change becomes visible"`
}

func (c *listCommand) run(ctx context.Context) error {
	return serve(ctx, c.Listen, lister.NewServer(lister.New(c.Lag)))
}

type workersCommand struct {
	Listen       netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" help:"control address; every endpoint has a port of its own"`
	List         netip.AddrPort `arg:"--list" default:"127.0.0.1:7200" help:"address of the instance list"`
	Kind         string         `arg:"--kind" default:"worker" help:"worker or executor"`
	Count        int            `arg:"--count" default:"8" help:"number of endpoints"`
	Region       string         `arg:"--region,required" help:"region of the endpoints"`
	Zone         string         `arg:"--zone,required" help:"availability zone of the endpoints"`
	Service      string         `arg:"--service" help:"the only service of the executors"`
	Cores        int64          `arg:"--cores" default:"16" help:"processors of a worker"`
	Memory       int64          `arg:"--memory" default:"64" help:"memory of a worker in GiB"`
	Accelerators int64          `arg:"--accelerators" default:"0" help:"accelerators of a worker"`
	Slots        int64          `arg:"--slots" default:"8" help:"slots of an executor"`
	Latency      time.Duration  `arg:"--service-time" default:"5ms" help:"duration of a call"`
	Lag          time.Duration  `arg:"--lag" default:"1s" help:"lag of usage reports"`
	Usage        int64          `arg:"--usage" default:"100" help:"percentage of the declared resources that tasks use"`
}

func (c *workersCommand) run(ctx context.Context) error {
	spec := worker.Spec{
		Kind: modeler.InstanceKind(c.Kind), Count: c.Count, Region: c.Region, Zone: c.Zone, Service: c.Service,
		Settings: worker.Settings{Lag: c.Lag, Usage: c.Usage, Service: c.Latency}, Address: c.Listen.Addr(),
	}
	switch spec.Kind {
	case modeler.KindWorker:
		spec.Capacity = modeler.Resources{Millis: c.Cores * 1000, Memory: c.Memory << 30, Accelerators: c.Accelerators}
	case modeler.KindExecutor:
		spec.Capacity = modeler.Resources{Slots: c.Slots}
	case modeler.KindEntry:
		fallthrough
	default:
		return fmt.Errorf("unknown kind %q", c.Kind)
	}
	host := worker.NewHost(spec, lister.NewClient(c.List))
	if err := host.Start(ctx); err != nil {
		return err
	}
	defer host.Close()

	return serve(ctx, c.Listen, host.Router())
}

type relayCommand struct {
	Listen netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" help:"control address"`
}

func (c *relayCommand) run(ctx context.Context) error {
	relay := relayer.New()
	defer relay.Close()

	return serve(ctx, c.Listen, relay.Router())
}

// serve prints the address that it listens on, which the launcher reads, and
// serves until ctx is done.
func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	fmt.Println("listening", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	<-done

	return nil
}
