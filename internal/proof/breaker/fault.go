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

// fault is a kind of failure. begin applies it and returns the function that
// ends it, or nil if the fault cannot be applied now.
type fault struct {
	kind        string
	minDuration time.Duration
	maxDuration time.Duration
	begin       func(ctx context.Context, p faultParams) (end func(ctx context.Context))
}

// faultParams holds the random choices of one fault. They are all made before it
// begins, so that the sequence of faults depends on the seed only.
type faultParams struct {
	entry, endpoint int
	executor        bool
	fraction        float64
	duration        time.Duration
}

func newFaultParams(random *rand.Rand, f fault) faultParams {
	return faultParams{
		entry: random.IntN(1 << 16), endpoint: random.IntN(1 << 16), executor: random.IntN(2) == 0,
		fraction: random.Float64(), duration: f.minDuration + time.Duration(random.Int64N(int64(f.maxDuration-f.minDuration)+1)),
	}
}

// faults returns all kinds of fault in a fixed order.
func (r *chaosRun) faults() []fault {
	const s = time.Second
	all := make([]fault, 0, 32)
	all = append(all, []fault{
		{"kill an entry instance", s / 2, 3 * s, r.killEntry},
		{"kill an owner", s, 4 * s, r.killOwner},
		{"pause an entry instance", s / 2, 4 * s, r.pauseEntry},
		{"pause an owner", s, 5 * s, r.pauseOwner},
		{"withdraw a key", 0, 0, r.withdraw},
	}...)
	for kind, faults := range map[string]injector.Faults{
		"log unavailable":      {Outage: injector.OutageUnavailable},
		"log refuses":          {Outage: injector.OutageRefuse},
		"log hangs":            {Outage: injector.OutageHang},
		"log is slow":          {Latency: injector.Duration(400 * time.Millisecond)},
		"log answers get lost": {LostAnswerShare: 0.5},
	} {
		all = append(all, fault{kind, s, 4 * s, r.logFaults(faults)})
	}
	for kind, faults := range map[string]injector.Faults{
		"endpoint freezes":          {Frozen: true},
		"endpoint answers get lost": {LostAnswerShare: 0.7},
		"endpoint is slow":          {Latency: injector.Duration(300 * time.Millisecond)},
	} {
		all = append(all, fault{kind, s, 8 * s, r.endpointFaults(faults)})
	}
	all = append(all,
		fault{"endpoint dies", s, 9 * s, r.crashEndpoint},
		fault{"endpoint is replaced", 0, 0, r.replaceEndpoint},
		fault{"endpoint leaves", 6 * s, 8 * s, r.leaveEndpoint},
		fault{"endpoint fails everything", s, 5 * s, r.failTasks},
	)
	for _, mode := range []relayer.Mode{relayer.ModeCut, relayer.ModeFreeze, relayer.ModeSilence} {
		for _, target := range []string{"log", "peer", "endpoint"} {
			all = append(all, fault{"connections to " + target + ": " + string(mode), s, 5 * s, r.relayFaults(mode, target)})
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

// reserveEntry reserves an entry instance for a fault. It reports false if the
// instance is reserved already or a third of the instances are, so that at most
// a third are down or paused at once.
func (r *chaosRun) reserveEntry(entry *launcher.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.downEntries[entry] || len(r.downEntries) >= len(r.cluster.Entries)/3 {
		return false
	}
	r.downEntries[entry] = true

	return true
}

func (r *chaosRun) releaseEntry(entry *launcher.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.downEntries, entry)
}

func (r *chaosRun) chooseEntry(p faultParams) *launcher.Entry {
	return r.cluster.Entries[p.entry%len(r.cluster.Entries)]
}

// chooseOwner returns the owner of a randomly chosen partition, or nil if no
// owner answers.
func (r *chaosRun) chooseOwner(ctx context.Context, p faultParams) *launcher.Entry {
	owners := r.cluster.Owners(ctx)
	names := make([]modeler.PartitionID, 0, len(owners))
	for name := range owners {
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)

	return owners[names[p.entry%len(names)]]
}

func (r *chaosRun) killEntry(_ context.Context, p faultParams) func(context.Context) {
	return r.kill(r.chooseEntry(p))
}

func (r *chaosRun) killOwner(ctx context.Context, p faultParams) func(context.Context) {
	entry := r.chooseOwner(ctx, p)
	if entry == nil || !r.reserveEntry(entry) {
		return nil
	}
	r.releaseEntry(entry)
	id, err := r.cluster.InstanceID(ctx, entry)
	end := r.kill(entry)
	if err == nil && end != nil {
		r.mu.Lock()
		r.kills = append(r.kills, ownerKill{owner: id, killedAt: time.Now()})
		r.mu.Unlock()
	}

	return end
}

func (r *chaosRun) kill(entry *launcher.Entry) func(context.Context) {
	if !r.reserveEntry(entry) {
		return nil
	}
	entry.Process().Kill()

	return func(context.Context) {
		if err := r.cluster.StartEntry(entry); err != nil {
			r.addProblem(err)
		}
		r.releaseEntry(entry)
	}
}

func (r *chaosRun) pauseEntry(_ context.Context, p faultParams) func(context.Context) {
	return r.pause(r.chooseEntry(p))
}

func (r *chaosRun) pauseOwner(ctx context.Context, p faultParams) func(context.Context) {
	if entry := r.chooseOwner(ctx, p); entry != nil {
		return r.pause(entry)
	}

	return nil
}

func (r *chaosRun) pause(entry *launcher.Entry) func(context.Context) {
	if !r.reserveEntry(entry) {
		return nil
	}
	entry.Process().Pause()

	return func(context.Context) {
		entry.Process().Resume()
		r.releaseEntry(entry)
	}
}

// logFaults applies faults to the log. Overlapping ones replace each other.
func (r *chaosRun) logFaults(faults injector.Faults) func(context.Context, faultParams) func(context.Context) {
	return func(ctx context.Context, _ faultParams) func(context.Context) {
		set := func(ctx context.Context, faults injector.Faults) {
			r.addProblem(launcher.Post(ctx, r.cluster.Log, "/control/faults", faults, nil))
		}
		set(ctx, faults)

		return func(ctx context.Context) { set(ctx, injector.Faults{}) }
	}
}

// relayFaults applies a relay mode to the connections from one entry instance to
// a kind of target.
func (r *chaosRun) relayFaults(mode relayer.Mode, target string) func(context.Context, faultParams) func(context.Context) {
	return func(ctx context.Context, p faultParams) func(context.Context) {
		name := launcher.RouteName(r.chooseEntry(p).Name, target, "*")
		set := func(ctx context.Context, settings relayer.Settings) {
			r.addProblem(launcher.Post(ctx, r.cluster.Relay, "/control/routes/"+name, settings, nil))
		}
		set(ctx, relayer.Settings{Mode: mode})

		return func(ctx context.Context) { set(ctx, relayer.Settings{}) }
	}
}

// reserveEndpoint reserves an endpoint for a fault. It returns a nil host if the
// endpoint is reserved already or a quarter of its host's endpoints are, so that
// at most a quarter of the endpoints of a host are faulty at once.
func (r *chaosRun) reserveEndpoint(p faultParams) (*launcher.Host, modeler.InstanceID) {
	kind := modeler.KindWorker
	if p.executor {
		kind = modeler.KindExecutor
	}
	var hosts []*launcher.Host
	for _, host := range r.cluster.Hosts {
		if host.Kind == kind {
			hosts = append(hosts, host)
		}
	}
	host := hosts[p.entry%len(hosts)]
	r.mu.Lock()
	defer r.mu.Unlock()
	id := host.Endpoints[p.endpoint%len(host.Endpoints)].ID
	if r.faultyEndpoints[id] || r.faultyPerHost[host] >= max(len(host.Endpoints)/4, 1) {
		return nil, ""
	}
	r.faultyEndpoints[id] = true
	r.faultyPerHost[host]++

	return host, id
}

func (r *chaosRun) releaseEndpoint(host *launcher.Host, id modeler.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.faultyEndpoints, id)
	r.faultyPerHost[host]--
}

// faultyEndpoint is an endpoint to which a fault applies.
type faultyEndpoint struct {
	run  *chaosRun
	host *launcher.Host
	id   modeler.InstanceID
}

// post sends a control request. It does not use the context of the run, because
// faults are also ended after the run.
func (e faultyEndpoint) post(action string, body, reply any) {
	path := "/control/endpoints/" + string(e.id) + "/" + action
	e.run.addProblem(launcher.Post(context.Background(), e.host.Control, path, body, reply))
}

// replace crashes the endpoint and starts a new one, to which later faults
// apply.
func (e faultyEndpoint) replace() {
	var replacement modeler.Instance
	e.post("replace", nil, &replacement)
	e.run.mu.Lock()
	defer e.run.mu.Unlock()
	for i := range e.host.Endpoints {
		if e.host.Endpoints[i].ID == e.id && replacement.ID != "" {
			e.host.Endpoints[i] = replacement
		}
	}
}

// withEndpoint reserves a randomly chosen endpoint, calls begin on it, and
// returns the function that calls end and releases it. It returns nil if the
// endpoint cannot be reserved.
func (r *chaosRun) withEndpoint(p faultParams, begin, end func(faultyEndpoint)) func(context.Context) {
	host, id := r.reserveEndpoint(p)
	if host == nil {
		return nil
	}
	e := faultyEndpoint{run: r, host: host, id: id}
	begin(e)

	return func(context.Context) {
		end(e)
		r.releaseEndpoint(host, id)
	}
}

func (r *chaosRun) endpointFaults(faults injector.Faults) func(context.Context, faultParams) func(context.Context) {
	return func(_ context.Context, p faultParams) func(context.Context) {
		return r.withEndpoint(p,
			func(e faultyEndpoint) { e.post("faults", faults, nil) },
			func(e faultyEndpoint) { e.post("faults", injector.Faults{}, nil) })
	}
}

func (r *chaosRun) crashEndpoint(_ context.Context, p faultParams) func(context.Context) {
	return r.withEndpoint(p,
		func(e faultyEndpoint) { e.post("die", nil, nil) },
		func(e faultyEndpoint) { e.post("revive", nil, nil) })
}

func (r *chaosRun) failTasks(_ context.Context, p faultParams) func(context.Context) {
	settings := worker.Settings{Service: serviceTime, Lag: time.Second, Usage: 100}
	failing := settings
	failing.Failing = true

	return r.withEndpoint(p,
		func(e faultyEndpoint) { e.post("settings", failing, nil) },
		func(e faultyEndpoint) { e.post("settings", settings, nil) })
}

func (r *chaosRun) replaceEndpoint(_ context.Context, p faultParams) func(context.Context) {
	return r.withEndpoint(p, func(faultyEndpoint) {}, faultyEndpoint.replace)
}

func (r *chaosRun) leaveEndpoint(_ context.Context, p faultParams) func(context.Context) {
	return r.withEndpoint(p, func(e faultyEndpoint) { e.post("leave", nil, nil) }, faultyEndpoint.replace)
}
