package breaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// fault is a kind of failure. Its begin returns what ends it, or nil if it
// could not be applied now.
type fault struct {
	kind  string
	least time.Duration
	most  time.Duration
	begin func(ctx context.Context, d draw) (end func(ctx context.Context))
}

// draw holds the random choices of one fault, drawn before it begins, so that
// the sequence of faults depends on the seed only.
type draw struct {
	entry, endpoint int
	executor        bool
	fraction        float64
	lasts           time.Duration
}

func newDraw(random *rand.Rand, f fault) draw {
	return draw{
		entry: random.IntN(1 << 16), endpoint: random.IntN(1 << 16), executor: random.IntN(2) == 0,
		fraction: random.Float64(), lasts: f.least + time.Duration(random.Int64N(int64(f.most-f.least)+1)),
	}
}

// faults returns every kind of fault.
func (b *breaker) faults() []fault {
	const s = time.Second
	all := make([]fault, 0, 32)
	all = append(all, []fault{
		{"kill an entry instance", s / 2, 3 * s, b.killEntry},
		{"kill an owner", s, 4 * s, b.killOwner},
		{"pause an entry instance", s / 2, 4 * s, b.pauseEntry},
		{"pause an owner", s, 5 * s, b.pauseOwner},
		{"withdraw a key", 0, 0, b.withdraw},
	}...)
	for kind, faults := range map[string]injector.Faults{
		"log unavailable":      {Outage: injector.OutageUnavailable},
		"log refuses":          {Outage: injector.OutageRefuse},
		"log hangs":            {Outage: injector.OutageHang},
		"log is slow":          {Latency: injector.Duration(400 * time.Millisecond)},
		"log answers get lost": {LostAnswerShare: 0.5},
	} {
		all = append(all, fault{kind, s, 4 * s, b.logFaults(faults)})
	}
	for kind, faults := range map[string]injector.Faults{
		"endpoint freezes":          {Frozen: true},
		"endpoint answers get lost": {LostAnswerShare: 0.7},
		"endpoint is slow":          {Latency: injector.Duration(300 * time.Millisecond)},
	} {
		all = append(all, fault{kind, s, 8 * s, b.endpointFaults(faults)})
	}
	all = append(all,
		fault{"endpoint dies", s, 9 * s, b.dieEndpoint},
		fault{"endpoint is replaced", 0, 0, b.replaceEndpoint},
		fault{"endpoint leaves", 6 * s, 8 * s, b.leaveEndpoint},
		fault{"endpoint fails everything", s, 5 * s, b.failEndpoint},
	)
	for _, mode := range []relayer.Mode{relayer.ModeCut, relayer.ModeFreeze, relayer.ModeSilence} {
		for _, target := range []string{"log", "peer", "endpoint"} {
			all = append(all, fault{"connections to " + target + ": " + string(mode), s, 5 * s, b.relayFaults(mode, target)})
		}
	}
	slices.SortFunc(all, func(x, y fault) int {
		if x.kind < y.kind {
			return -1
		}

		return 1
	})

	return all
}

// takeEntry reserves an entry instance for a fault, so that at most a third of
// them are down or paused at once.
func (b *breaker) takeEntry(entry *launcher.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.downEntries[entry] || len(b.downEntries) >= len(b.cluster.Entries)/3 {
		return false
	}
	b.downEntries[entry] = true

	return true
}

func (b *breaker) giveEntry(entry *launcher.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.downEntries, entry)
}

func (b *breaker) drawnEntry(d draw) *launcher.Entry {
	return b.cluster.Entries[d.entry%len(b.cluster.Entries)]
}

// drawnOwner returns the owner of a partition.
func (b *breaker) drawnOwner(ctx context.Context, d draw) *launcher.Entry {
	owners := b.cluster.Owners(ctx)
	names := make([]modeler.PartitionID, 0, len(owners))
	for name := range owners {
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)

	return owners[names[d.entry%len(names)]]
}

func (b *breaker) killEntry(_ context.Context, d draw) func(context.Context) {
	return b.kill(b.drawnEntry(d))
}

func (b *breaker) killOwner(ctx context.Context, d draw) func(context.Context) {
	entry := b.drawnOwner(ctx, d)
	if entry == nil || !b.takeEntry(entry) {
		return nil
	}
	b.giveEntry(entry)
	id, err := b.cluster.InstanceID(ctx, entry)
	end := b.kill(entry)
	if err == nil && end != nil {
		b.mu.Lock()
		b.kills = append(b.kills, kill{owner: id, at: time.Now()})
		b.mu.Unlock()
	}

	return end
}

func (b *breaker) kill(entry *launcher.Entry) func(context.Context) {
	if !b.takeEntry(entry) {
		return nil
	}
	entry.Process().Kill()

	return func(context.Context) {
		if err := b.cluster.StartEntry(entry); err != nil {
			b.problem(err)
		}
		b.giveEntry(entry)
	}
}

func (b *breaker) pauseEntry(_ context.Context, d draw) func(context.Context) {
	return b.pause(b.drawnEntry(d))
}

func (b *breaker) pauseOwner(ctx context.Context, d draw) func(context.Context) {
	if entry := b.drawnOwner(ctx, d); entry != nil {
		return b.pause(entry)
	}

	return nil
}

func (b *breaker) pause(entry *launcher.Entry) func(context.Context) {
	if !b.takeEntry(entry) {
		return nil
	}
	entry.Process().Pause()

	return func(context.Context) {
		entry.Process().Resume()
		b.giveEntry(entry)
	}
}

// logFaults sets faults of the log; the last one set wins.
func (b *breaker) logFaults(faults injector.Faults) func(context.Context, draw) func(context.Context) {
	return func(ctx context.Context, _ draw) func(context.Context) {
		set := func(ctx context.Context, faults injector.Faults) {
			b.problem(launcher.Post(ctx, b.cluster.Log, "/control/faults", faults, nil))
		}
		set(ctx, faults)

		return func(ctx context.Context) { set(ctx, injector.Faults{}) }
	}
}

// relayFaults disturbs the connections of one entry instance.
func (b *breaker) relayFaults(mode relayer.Mode, target string) func(context.Context, draw) func(context.Context) {
	return func(ctx context.Context, d draw) func(context.Context) {
		name := launcher.RouteName(b.drawnEntry(d).Name, target, "*")
		set := func(ctx context.Context, settings relayer.Settings) {
			b.problem(launcher.Post(ctx, b.cluster.Relay, "/control/routes/"+name, settings, nil))
		}
		set(ctx, relayer.Settings{Mode: mode})

		return func(ctx context.Context) { set(ctx, relayer.Settings{}) }
	}
}

// takeEndpoint reserves an endpoint for a fault, so that at most a quarter of
// the endpoints of a host are disturbed at once.
func (b *breaker) takeEndpoint(d draw) (*launcher.Host, modeler.InstanceID) {
	kind := modeler.KindWorker
	if d.executor {
		kind = modeler.KindExecutor
	}
	var hosts []*launcher.Host
	for _, host := range b.cluster.Hosts {
		if host.Kind == kind {
			hosts = append(hosts, host)
		}
	}
	host := hosts[d.entry%len(hosts)]
	b.mu.Lock()
	defer b.mu.Unlock()
	id := host.Endpoints[d.endpoint%len(host.Endpoints)].ID
	if b.disturbed[id] || b.perHost[host] >= max(len(host.Endpoints)/4, 1) {
		return nil, ""
	}
	b.disturbed[id] = true
	b.perHost[host]++

	return host, id
}

func (b *breaker) giveEndpoint(host *launcher.Host, id modeler.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.disturbed, id)
	b.perHost[host]--
}

// target is an endpoint that a fault disturbs.
type target struct {
	breaker *breaker
	host    *launcher.Host
	id      modeler.InstanceID
}

// post sends a control request. Faults end after the run too, so that it does
// not depend on the run's context.
func (t target) post(action string, body, reply any) {
	path := "/control/endpoints/" + string(t.id) + "/" + action
	t.breaker.problem(launcher.Post(context.Background(), t.host.Control, path, body, reply))
}

// replace crashes the endpoint; later faults meet the new one.
func (t target) replace() {
	var fresh modeler.Instance
	t.post("replace", nil, &fresh)
	t.breaker.mu.Lock()
	defer t.breaker.mu.Unlock()
	for i := range t.host.Endpoints {
		if t.host.Endpoints[i].ID == t.id && fresh.ID != "" {
			t.host.Endpoints[i] = fresh
		}
	}
}

// endpoint disturbs a drawn endpoint.
func (b *breaker) endpoint(d draw, begin, end func(target)) func(context.Context) {
	host, id := b.takeEndpoint(d)
	if host == nil {
		return nil
	}
	t := target{breaker: b, host: host, id: id}
	begin(t)

	return func(context.Context) {
		end(t)
		b.giveEndpoint(host, id)
	}
}

func (b *breaker) endpointFaults(faults injector.Faults) func(context.Context, draw) func(context.Context) {
	return func(_ context.Context, d draw) func(context.Context) {
		return b.endpoint(d,
			func(t target) { t.post("faults", faults, nil) },
			func(t target) { t.post("faults", injector.Faults{}, nil) })
	}
}

func (b *breaker) dieEndpoint(_ context.Context, d draw) func(context.Context) {
	return b.endpoint(d,
		func(t target) { t.post("die", nil, nil) },
		func(t target) { t.post("revive", nil, nil) })
}

func (b *breaker) failEndpoint(_ context.Context, d draw) func(context.Context) {
	settings := worker.Settings{Service: serviceTime, Lag: time.Second, Usage: 100}
	failing := settings
	failing.Failing = true

	return b.endpoint(d,
		func(t target) { t.post("settings", failing, nil) },
		func(t target) { t.post("settings", settings, nil) })
}

func (b *breaker) replaceEndpoint(_ context.Context, d draw) func(context.Context) {
	return b.endpoint(d, func(target) {}, target.replace)
}

func (b *breaker) leaveEndpoint(_ context.Context, d draw) func(context.Context) {
	return b.endpoint(d, func(t target) { t.post("leave", nil, nil) }, target.replace)
}
