package disrupter

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
)

// Mix selects the faults of a run.
type Mix string

// The mixes. MixStruckTwice and MixStoreCut run longer tasks under shorter leases
// than the others, so that many tasks still run when the next owner is struck.
const (
	// MixSingle injects faults that are independent of one another.
	MixSingle Mix = "single"
	// MixStruckTwice injects series in which an owner is paused and the next one is
	// killed.
	MixStruckTwice Mix = "struck-twice"
	// MixStoreCut injects series in which an owner is cut from the store while
	// endpoints that hold ends are killed.
	MixStoreCut Mix = "store-cut"
	// MixMalformed leaves malformed entries in the endpoint list while owners are replaced.
	MixMalformed Mix = "malformed"
	// MixManyEnds pauses the owner while more runs end on each endpoint than it lists at a time.
	MixManyEnds Mix = "many-ends"
	// MixPolicies leaves calm spells between faults of the cell and of the placement
	// policies, and submits jobs to queues with policies.
	MixPolicies Mix = "policies"
	// MixAll injects all faults and series.
	MixAll Mix = "all"
)

// UnmarshalText implements encoding.TextUnmarshaler and refuses unknown mixes.
func (m *Mix) UnmarshalText(text []byte) error {
	switch mix := Mix(text); mix {
	case MixSingle, MixStruckTwice, MixStoreCut, MixMalformed, MixManyEnds, MixPolicies, MixAll:
		*m = mix

		return nil
	default:
		return errors.Errorf("unknown mix %q", text)
	}
}

const (
	// minSeriesInterval and maxSeriesInterval bound the time from one series to the
	// next if no other faults are injected.
	minSeriesInterval = 5 * time.Second
	maxSeriesInterval = 8 * time.Second
	// minOwnerPause and maxOwnerPause bound the time for which an owner is paused in a
	// series; it exceeds seriesLease. ownerCheckInterval is the interval of the checks
	// whether another instance has become the owner.
	minOwnerPause      = 3600 * time.Millisecond
	maxOwnerPause      = 4200 * time.Millisecond
	ownerCheckInterval = 20 * time.Millisecond
	// minResumeDelay and maxResumeDelay bound the time from the kill of the next owner
	// to the end of the pause. The owner after it claims at about that time.
	minResumeDelay = 1100 * time.Millisecond
	maxResumeDelay = 1700 * time.Millisecond
	// ownerDownTime is how long the killed owner is down and endpoints are slow;
	// hostDelay is added to their data in each direction.
	ownerDownTime = 3 * time.Second
	hostDelay     = 150 * time.Millisecond
	// minStoreCut and maxStoreCut bound the time for which an owner is cut from the
	// store in a series. Endpoints are killed within maxKillDelay after the cut.
	minStoreCut  = 4 * time.Second
	maxStoreCut  = 5 * time.Second
	maxKillDelay = 2500 * time.Millisecond
	// maxKilledHosts is the maximum number of endpoints killed in a series.
	maxKilledHosts = 2
	// seriesLease is the maximum lease in a run of series only. A paused owner finds
	// it expired when it resumes, before the owner after the next has claimed.
	seriesLease = 3 * time.Second
	// maxSingleLength and maxSeriesLength bound the time for which a task runs.
	maxSingleLength = time.Second
	maxSeriesLength = 4500 * time.Millisecond
)

// struckTwice and storeCut list the series of faults. They choose their durations
// themselves.
var (
	struckTwice = []fault{{"pause owner, kill the next", func(i *faultInjector, _ time.Duration) { i.strikeTwice() }}}
	storeCut    = []fault{
		{"cut owner from store, kill endpoints", func(i *faultInjector, _ time.Duration) { i.cutOwner() }},
		{"cut owner from store, kill endpoints and it", func(i *faultInjector, _ time.Duration) {
			cut, delay := i.cutOwner()
			i.callAfter(delay, func() { i.stopProcess(cut, syscall.SIGKILL) })
		}},
	}
)

// faults returns the faults of the mix.
func (m Mix) faults() []fault {
	switch m {
	case MixStruckTwice:
		return struckTwice
	case MixStoreCut:
		return storeCut
	case MixMalformed:
		return malformed
	case MixManyEnds:
		return manyEnds
	case MixPolicies:
		return slices.Concat(calmFaults(), policyFaults)
	case MixAll:
		return slices.Concat(faults, struckTwice, storeCut, malformed)
	case MixSingle:
	}

	return faults
}

// onlySeries reports whether the mix consists of series of faults.
func (m Mix) onlySeries() bool { return m == MixStruckTwice || m == MixStoreCut }

// interval returns a random time from one fault to the next.
func (m Mix) interval(random *rand.Rand) time.Duration {
	if m == MixManyEnds {
		return burstInterval
	}
	if m == MixPolicies {
		return minCalmInterval + randomDuration(random, maxCalmInterval-minCalmInterval)
	}
	if m.onlySeries() {
		return minSeriesInterval + randomDuration(random, maxSeriesInterval-minSeriesInterval)
	}

	return randomDuration(random, maxFaultInterval)
}

// lease returns the maximum lease of the run.
func (m Mix) lease() time.Duration {
	if m.onlySeries() {
		return seriesLease
	}

	return leaseMax
}

// maxLength returns the bound of the time for which a task runs.
func (m Mix) maxLength() time.Duration {
	if m.onlySeries() {
		return maxSeriesLength
	}

	return maxSingleLength
}

// randomDuration returns a random duration of less than bound.
func randomDuration(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}

// strikeTwice pauses the owner and kills the next one before the pause ends.
func (i *faultInjector) strikeTwice() {
	paused, duration := i.owner(), minOwnerPause+randomDuration(i.random, maxOwnerPause-minOwnerPause)
	i.logf("%s paused for %s", paused.name, duration.Round(time.Millisecond))
	i.pause(paused, duration)
	resumeDelay := minResumeDelay + randomDuration(i.random, maxResumeDelay-minResumeDelay)
	resumeAt := time.Now().Add(duration)
	i.callAfter(duration-resumeDelay, func() { i.killNextOwner(paused, resumeAt) })
}

// killNextOwner kills the owner once it is another instance than previous. It gives
// up at the time until.
func (i *faultInjector) killNextOwner(previous *entry, until time.Time) {
	next := i.owner()
	switch {
	case next != previous:
		i.logf("%s owns the cell after %s and is killed", next.name, previous.name)
		i.killFor(next, ownerDownTime)
		i.slowHosts(ownerDownTime)
	case time.Now().Before(until):
		i.callAfter(ownerCheckInterval, func() { i.killNextOwner(previous, until) })
	default:
		i.logf("nobody owns the cell after %s", previous.name)
	}
}

// killFor kills the process of an entry instance and restarts it after a duration.
func (i *faultInjector) killFor(e *entry, duration time.Duration) {
	process := e.currentProcess()
	if !process.Alive() || i.stopping[process] {
		return
	}
	i.stopping[process] = true
	process.Kill()
	i.callAfter(duration, func() { i.restart(e) })
}

// slowHosts delays the links of about half of the endpoints for a duration, so that
// a new owner may hear of an earlier owner before it hears of an endpoint.
func (i *faultInjector) slowHosts(duration time.Duration) {
	for _, h := range i.cluster.hosts {
		if i.random.IntN(2) == 0 || !h.available() {
			continue
		}
		_ = h.route.Set(relayer.Settings{Delay: injector.Duration(hostDelay)})
		i.callAfter(duration, func() { _ = h.route.Set(relayer.Settings{}) })
	}
}

// cutOwner cuts the owner from the store and kills endpoints that hold ends after a
// random delay. It returns the owner and the delay.
func (i *faultInjector) cutOwner() (cut *entry, delay time.Duration) {
	cut, delay = i.owner(), randomDuration(i.random, maxKillDelay)
	duration := minStoreCut + randomDuration(i.random, maxStoreCut-minStoreCut)
	i.logf("%s cut from the store for %s", cut.name, duration.Round(time.Millisecond))
	i.setRouteMode(cut.route, relayer.ModeCut, duration)
	count := 1 + i.random.IntN(maxKilledHosts)
	i.callAfter(delay, func() { i.killHosts(count) })

	return cut, delay
}

// killHosts removes up to count endpoints that hold ends without a notice to the
// list, and adds others in their place.
func (i *faultInjector) killHosts(count int) {
	var holding []*host
	for _, h := range i.cluster.hosts {
		if h.available() && h.endpoint.HoldsEnds() {
			holding = append(holding, h)
		}
	}
	i.random.Shuffle(len(holding), func(a, b int) { holding[a], holding[b] = holding[b], holding[a] })
	for _, h := range holding[:min(count, len(holding))] {
		i.logf("%s killed for good", h.endpoint.ID)
		h.endpoint.Crash(false)
		_ = h.route.Set(relayer.Settings{Mode: relayer.ModeCut})
		h.mu.Lock()
		h.removed = true
		h.mu.Unlock()
		i.replaceHost()
	}
}
