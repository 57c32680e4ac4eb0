package disrupter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
)

const (
	// minCalmInterval and maxCalmInterval bound the time from one fault to the next, so that calm spells lie between.
	minCalmInterval = 9 * time.Second
	maxCalmInterval = 15 * time.Second
	// accountBurstInterval is the time from one burst of an account to the next, and accountBurst how long it lasts.
	accountBurstInterval = 9 * time.Second
	accountBurst         = 2500 * time.Millisecond
	// burstFactor is the number of additional jobs of the account for each job in a burst.
	burstFactor = 2
	// rateMargin is the rate of an account as a multiple of what it usually submits, and limitShare its limit as a
	// share of the capacity of all endpoints.
	rateMargin = 1.2
	limitShare = 0.6
	// ticketValidity is how long tickets are valid.
	ticketValidity = 2500 * time.Millisecond
	// resendShare is the share of the jobs of queues that resend which are submitted twice, maxResendDelay the bound
	// of the time between.
	resendShare    = 0.4
	maxResendDelay = 4 * time.Second
	// limitedShare is the share of the jobs of limited queues whose steps have a limit for each endpoint, at most
	// maxPerEndpoint. wideShare is the share of those that have more tasks than the admitted endpoints may run at once.
	limitedShare   = 0.5
	maxPerEndpoint = 2
	wideShare      = 0.25
	// policyFailShare is the share of the jobs without a gang of which some runs fail.
	policyFailShare = 0.04
	// taskMemory is the memory of a task.
	taskMemory = 256 << 20
	// usualEndpoints is the number of endpoints for which the gangs of a workload have their size.
	usualEndpoints = 48
)

// workload is a queue with a placement policy and the kind of its jobs.
type workload struct {
	name     string
	priority int
	policy   executor.Policy
	target   time.Duration
	// share is the share of the submitted jobs.
	share float64
	// count, length and millis are the means of the number of tasks of a step, their run time and their need. gang
	// tasks start together, and nextStep is the share of the jobs with a second step.
	count    int
	length   time.Duration
	millis   int64
	gang     bool
	nextStep float64
	// limited means that some steps have a limit for each endpoint, and resends that some jobs are submitted twice.
	limited, resends bool
}

// workloads are the queues of MixPolicies.
var workloads = []workload{
	{
		name: "lookup", priority: 0, policy: executor.Policy{Decide: 6 * time.Millisecond, Each: 90 * time.Microsecond, Validity: ticketValidity, Admitted: 0.7},
		target: 600 * time.Millisecond, share: 0.85, count: 2, length: 640 * time.Millisecond, millis: 1400,
	},
	{
		name: "forecast", priority: 1, policy: executor.Policy{Decide: 310 * time.Millisecond, Each: 4400 * time.Microsecond, Validity: ticketValidity, Admitted: 0.25},
		target: 1200 * time.Millisecond, share: 0.03, count: 8, length: 5 * time.Second, millis: 4500, gang: true, nextStep: 0.2,
	},
	{
		name: "analysis", priority: 2, policy: executor.Policy{Decide: 49 * time.Millisecond, Each: 700 * time.Microsecond, Validity: ticketValidity, Admitted: 0.45},
		target: 3 * time.Second, share: 0.12, count: 10, length: 2200 * time.Millisecond, millis: 980, nextStep: 0.5, limited: true, resends: true,
	},
}

// policyAccounts are the accounts of MixPolicies with their shares of the submitted jobs.
var policyAccounts = []struct {
	name  string
	share float64
}{{"north", 0.5}, {"coast", 0.3}, {"south", 0.2}}

// prefix and keyOf return the path prefix of the queue and the key of an account.
func (w *workload) prefix() string { return "/" + w.name + "/" }

func keyOf(account string) string { return "k-" + account }

// limits returns the limits of the accounts.
func (s *Settings) limits() map[string]modeler.Resources {
	limits := map[string]modeler.Resources{accountName: {Millis: accountLimitMillis}}
	if s.Mix == MixPolicies {
		for _, account := range policyAccounts {
			limits[account.name] = modeler.Resources{Millis: s.policyLimitMillis()}
		}
	}

	return limits
}

// policyLimitMillis is the limit of each of the policyAccounts.
func (s *Settings) policyLimitMillis() int64 {
	return int64(limitShare * float64(s.Endpoints) * endpointMillis)
}

// policyRoutes returns the routes of the workloads in the configuration, if the mix has them.
func (s *Settings) policyRoutes() []map[string]any {
	if s.Mix != MixPolicies {
		return nil
	}
	var routes []map[string]any
	for i := range workloads {
		w := &workloads[i]
		routes = append(routes, map[string]any{
			"name": w.name, "host": hostName, "path-prefix": w.prefix(), "service": serviceName, "priority": w.priority,
			"max-attempts": maxAttempts, "stretch": 3, "target-latency-ms": w.target.Milliseconds(),
			"advice": map[string]any{
				"decide-ms": milliseconds(w.policy.Decide), "each-ms": milliseconds(w.policy.Each), "validity-ms": milliseconds(w.policy.Validity),
			},
		})
	}

	return routes
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// policyTenants returns the policyAccounts in the configuration, if the mix has them.
func (s *Settings) policyTenants() []map[string]any {
	if s.Mix != MixPolicies {
		return nil
	}
	var tenants []map[string]any
	for _, account := range policyAccounts {
		tenants = append(tenants, map[string]any{
			"name": account.name, "api-keys": []string{keyOf(account.name)}, "weight": rateMargin * account.share * float64(s.Rate),
			"cap": map[string]any{"cpu": s.policyLimitMillis()},
		})
	}

	return tenants
}

// policyClients submits jobs of the workloads at a steady rate and in bursts of one account.
type policyClients struct {
	clients *clients
	random  *rand.Rand
}

// loop submits jobs until stop is closed and waits for their clients.
func (pc *policyClients) loop(ctx context.Context, stop <-chan struct{}) {
	cs := pc.clients
	ticker := time.NewTicker(time.Second / time.Duration(cs.cluster.settings.Rate))
	defer ticker.Stop()
	defer cs.pending.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		pc.submit(ctx, pc.randomAccount())
		at := time.Duration(number) * time.Second / time.Duration(cs.cluster.settings.Rate)
		if at%accountBurstInterval < accountBurstInterval-accountBurst {
			continue
		}
		hot := policyAccounts[int(at/accountBurstInterval)%len(policyAccounts)].name
		for range burstFactor {
			pc.submit(ctx, hot)
		}
	}
}

// randomAccount returns an account by their shares.
func (pc *policyClients) randomAccount() string {
	left := pc.random.Float64()
	for _, account := range policyAccounts {
		if left -= account.share; left < 0 {
			return account.name
		}
	}

	return policyAccounts[0].name
}

// submit submits a random job of an account.
func (pc *policyClients) submit(ctx context.Context, account string) {
	w := pc.randomWorkload()
	job := &submittedJob{id: fmt.Sprintf("%016x", pc.random.Uint64()), work: pc.randomWork(w, account), prefix: w.prefix(), key: keyOf(account)}
	if w.resends && pc.random.Float64() < resendShare {
		job.resendDelay = 1 + randomDuration(pc.random, maxResendDelay)
	}
	cancel, firstEntry := pc.random.Float64() < cancelShare, pc.random.IntN(len(pc.clients.cluster.entries))
	cancelDelay := randomDuration(pc.random, time.Second)
	pc.clients.pending.Add(1)
	go pc.clients.run(ctx, job, job.key, firstEntry, cancel, cancelDelay)
}

// randomWorkload returns a workload by their shares.
func (pc *policyClients) randomWorkload() *workload {
	left := pc.random.Float64()
	for i := range workloads {
		if left -= workloads[i].share; left < 0 {
			return &workloads[i]
		}
	}

	return &workloads[0]
}

// randomWork returns the work of a random job.
func (pc *policyClients) randomWork(w *workload, account string) executor.Work {
	bound := 2*w.count - 1
	if w.gang {
		// The admitted endpoints hold a gang as often as on a deployment of usualEndpoints.
		bound = max(bound*pc.clients.cluster.settings.Endpoints/usualEndpoints, 1)
	}
	work := executor.Work{
		Account: account, Spec: fmt.Sprintf("%s %d", w.name, pc.random.IntN(1000)), Count: 1 + pc.random.IntN(bound), Attempts: maxAttempts,
		Need:   modeler.Resources{Millis: w.millis/2 + pc.random.Int64N(w.millis), Memory: taskMemory},
		Length: w.length/2 + randomDuration(pc.random, w.length), Gang: w.gang, Policy: w.policy, Steps: 1,
	}
	if pc.random.Float64() < w.nextStep {
		work.Steps = 2
	}
	if w.limited && pc.random.Float64() < limitedShare {
		work.PerEndpoint = 1 + pc.random.IntN(maxPerEndpoint)
		if pc.random.Float64() < wideShare {
			work.Count = pc.wideCount(&work)
			work.Length /= 2
		}
	}
	if !w.gang && pc.random.Float64() < policyFailShare {
		work.Fails = 1 + pc.random.IntN(maxAttempts)
	}

	return work
}

// wideCount returns a number of tasks that is beyond what the admitted endpoints may run at once.
func (pc *policyClients) wideCount(work *executor.Work) int {
	atOnce := work.Policy.Admitted * float64(pc.clients.cluster.settings.Endpoints*work.PerEndpoint)

	return int(atOnce*(1+pc.random.Float64())) + 1
}

// possible reports whether the endpoints can run a job. Policies may admit too few of them.
func (c *cluster) possible(job *submittedJob) bool {
	if !job.work.Policy.Exists() || c.executors.Possible(job.id, c.usable()) {
		return true
	}
	c.ledger.CountCheck("accepted job that no endpoints can run")

	return false
}

// usable returns the endpoints that are neither draining nor removed.
func (c *cluster) usable() []executor.Usable {
	c.mu.Lock()
	hosts := slices.Clone(c.hosts)
	c.mu.Unlock()
	var usable []executor.Usable
	for _, h := range hosts {
		if h.available() {
			usable = append(usable, executor.Usable{Endpoint: h.endpoint, Label: h.label})
		}
	}

	return usable
}

// calmFaultNames are the faults of MixPolicies that other mixes have too.
var calmFaultNames = []string{
	"kill owner", "stop owner", "pause owner", "cut owner from store", "kill entry", "cut endpoint", "crash endpoint",
	"drain endpoint", "store busy", "store slow", "change configuration",
}

func calmFaults() []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(calmFaultNames, f.name) })
}

// policyFaults lists the faults that only MixPolicies has.
var policyFaults = []fault{
	{"cut entry from policies", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomEntry().policyRoute, relayer.ModeCut, duration)
	}},
	{"freeze entry's link to policies", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomEntry().policyRoute, relayer.ModeFreeze, duration)
	}},
	{"silence entry's connections to policies", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomEntry().policyRoute, relayer.ModeSilence, duration)
	}},
}
