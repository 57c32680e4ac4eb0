package commander

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/entry/starter"
	"gitlab.com/greengagewall/greengagewall/internal/report/reporter"
)

// address is an IP address with a port. Host names are rejected, because
// instances find each other by address.
type address netip.AddrPort

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *address) UnmarshalText(text []byte) error {
	value, err := netip.ParseAddrPort(string(text))
	if err != nil || value.Port() == 0 {
		return errors.Errorf("%q is not IP:port with a port of 1 to 65535, such as 10.0.0.7:8080 or [2001:db8::7]:8080", text)
	}
	*a = address(value)

	return nil
}

// reachableAddress is an address that other processes can connect to, thus not
// the unspecified one.
type reachableAddress address

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *reachableAddress) UnmarshalText(text []byte) error {
	var value address
	if err := value.UnmarshalText(text); err != nil {
		return err
	}
	if netip.AddrPort(value).Addr().IsUnspecified() {
		return errors.Errorf("%q is not an address that others can connect to; give the address of one interface", text)
	}
	*a = reachableAddress(value)

	return nil
}

// ServeCmd implements the serve command, which runs an entry instance.
type ServeCmd struct {
	Listen    address          `arg:"--listen,required,env:GREENGAGEWALL_LISTEN" placeholder:"IP:PORT" help:"address for callers and operators"`
	Peer      reachableAddress `arg:"--peer,required,env:GREENGAGEWALL_PEER" placeholder:"IP:PORT" help:"address for other entry instances, as in the instance list"`
	Region    string           `arg:"--region,required,env:GREENGAGEWALL_REGION" help:"region of this instance"`
	Zone      string           `arg:"--zone,required,env:GREENGAGEWALL_ZONE" help:"availability zone of this instance"`
	Log       reachableAddress `arg:"--log,required,env:GREENGAGEWALL_LOG" placeholder:"IP:PORT" help:"address of the platform's log"`
	List      reachableAddress `arg:"--list,required,env:GREENGAGEWALL_LIST" placeholder:"IP:PORT" help:"address of the platform's instance list"`
	IDPrefix  string           `arg:"--id-prefix,env:GREENGAGEWALL_ID_PREFIX" default:"entry" help:"beginning of the instance id; the rest is new at every start"`
	Retention time.Duration    `arg:"--retention,env:GREENGAGEWALL_RETENTION" default:"24h" help:"how long the log retains records"`
	Inflight  int              `arg:"--inflight,env:GREENGAGEWALL_INFLIGHT" default:"2048" help:"bound on requests in progress"`
	Hedge     time.Duration    `arg:"--hedge,env:GREENGAGEWALL_HEDGE" default:"1s" help:"send an idempotent call to a second partition after this delay; 0s disables it"`
	Notice    time.Duration    `arg:"--notice,env:GREENGAGEWALL_NOTICE" default:"2s" help:"after SIGTERM, report not ready for this time before refusing connections"`
	Drain     time.Duration    `arg:"--drain,env:GREENGAGEWALL_DRAIN" default:"30s" help:"after SIGTERM, time to hand over partitions and finish requests"`
	LogLevel  string           `arg:"--log-level,env:GREENGAGEWALL_LOG_LEVEL" default:"info" help:"trace, debug, info, warn or error"`
	LogFormat string           `arg:"--log-format,env:GREENGAGEWALL_LOG_FORMAT" default:"text" help:"text or json"`

	version string
}

// validate checks the settings that are not checked when they are parsed.
func (c *ServeCmd) validate() error {
	switch {
	case hclog.LevelFromString(c.LogLevel) == hclog.NoLevel:
		return errors.Errorf("--log-level is %q; it must be trace, debug, info, warn or error", c.LogLevel)
	case c.LogFormat != "text" && c.LogFormat != "json":
		return errors.Errorf("--log-format is %q; it must be text or json", c.LogFormat)
	case c.Region == "" || c.Zone == "" || c.IDPrefix == "":
		return errors.New("--region, --zone and --id-prefix must not be empty")
	case c.Retention < time.Minute:
		return errors.Errorf("--retention is %s; it must be at least 1m", c.Retention)
	case c.Inflight < 1:
		return errors.Errorf("--inflight is %d; it must be at least 1", c.Inflight)
	case c.Hedge < 0:
		return errors.Errorf("--hedge is %s; it must not be negative", c.Hedge)
	case c.Notice < 0:
		return errors.Errorf("--notice is %s; it must not be negative", c.Notice)
	case c.Drain <= 0:
		return errors.Errorf("--drain is %s; it must be positive", c.Drain)
	}

	return nil
}

// publishProcessUsage exports the resource usage of this process. It runs once,
// because expvar panics if a name is published twice.
var publishProcessUsage = sync.OnceFunc(reporter.Publish)

// Run serves until ctx is done and then shuts down gracefully.
func (c *ServeCmd) Run(ctx context.Context, env Env) (int, error) {
	if err := c.validate(); err != nil {
		return codeUsage, err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "greengagewall", Level: hclog.LevelFromString(c.LogLevel), JSONFormat: c.LogFormat == "json", Output: env.Err,
	})
	publishProcessUsage()
	instance, err := starter.New(starter.Settings{
		Listen: netip.AddrPort(c.Listen), Peer: netip.AddrPort(c.Peer), Log: netip.AddrPort(c.Log), List: netip.AddrPort(c.List),
		Region: c.Region, Zone: c.Zone, Prefix: c.IDPrefix, Version: c.version,
		Retention: c.Retention, Inflight: c.Inflight, Hedge: c.Hedge, Notice: c.Notice, Drain: c.Drain,
	}, logger)
	if err != nil {
		return codeUsage, err
	}
	if err := instance.Run(ctx); err != nil {
		return codeFailed, err
	}

	return 0, nil
}
