package breaker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/verifier"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// maxExplained bounds the violations that are printed together with the
// product's own decision records.
const maxExplained = 6

// settle resolves unknown outcomes as far as possible and waits until every
// accepted job has finished. It reports whether that happened in time.
func (r *chaosRun) settle(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, settleTimeout)
	defer stop()
	startedAt := time.Now()
	resolveCtx, end := context.WithTimeout(ctx, resolveTimeout)
	unknown, stillUnknown := r.recorder.Resolve(resolveCtx)
	end()
	r.printf("calls whose outcome was unknown: %d, still unknown: %d\n", unknown, stillUnknown)
	for ctx.Err() == nil {
		report, _, err := r.verify(ctx)
		if err == nil && !slices.ContainsFunc(report.Violations, mayResolve) {
			r.printf("settled after %s\n", time.Since(startedAt).Round(time.Millisecond))

			return true
		}
		time.Sleep(500 * time.Millisecond)
	}

	return false
}

// mayResolve reports whether a violation may disappear while work continues.
func mayResolve(v verifier.Violation) bool {
	return v.Check == verifier.CheckAccepted || v.Check == verifier.CheckGang
}

func (r *chaosRun) verify(ctx context.Context) (*verifier.Report, []worker.Event, error) {
	events, err := r.cluster.Ledgers(ctx)
	if err != nil {
		return nil, nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()

	return verifier.Verify(verifier.Evidence{
		Events: events, Limits: limits, Calls: r.recorder.Calls(), Jobs: r.recorder.Jobs(),
		Withdrawals: r.withdrawals, KeyBound: keyBound, LeavingBound: leavingBound,
	}), events, nil
}

// conclude verifies the run and prints the report.
func (r *chaosRun) conclude(ctx context.Context, settled bool) error {
	report, events, err := r.verify(ctx)
	if err != nil {
		return err
	}
	total := r.printFaults()
	r.printCounts("callers", r.load.counts)
	r.printf("checks: %d\n", report.Total())
	for _, name := range verifier.Checks() {
		r.printf("  %-34s %7d\n", name, report.Counts[name])
	}
	r.printMeasures(events)
	explainedJob := ""
	for i, v := range report.Violations {
		r.printf("violation: %s\n", v)
		if v.Job != "" && v.Job != explainedJob && i < maxExplained {
			explainedJob = v.Job
			r.printf("  the product says: %s\n", r.recorder.Explain(ctx, v.Job))
		}
	}
	for _, err := range r.problems {
		r.printf("problem: %v\n", err)
	}
	switch {
	case !report.OK():
		return errors.Errorf("%d violations in %d checks", len(report.Violations), report.Total())
	case total == 0:
		return errors.New("no fault was injected")
	case !settled:
		return errors.New("the work did not settle")
	case len(r.problems) > 0:
		return errors.Errorf("%d problems of the run itself", len(r.problems))
	}

	return nil
}

func (r *chaosRun) printFaults() int {
	total := 0
	for _, n := range r.counts {
		total += n
	}
	r.printf("faults: %d, %d drawn ones could not be applied\n", total, r.skipped)
	r.printCounts("", r.counts)

	return total
}

func (r *chaosRun) printCounts(title string, counts map[string]int) {
	if title != "" {
		r.printf("%s:\n", title)
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		r.printf("  %-34s %7d\n", name, counts[name])
	}
}

// printMeasures prints how long takeovers, key withdrawals and the propagation
// of configurations took.
func (r *chaosRun) printMeasures(events []worker.Event) {
	var takeovers []time.Duration
	for _, kill := range r.kills {
		if took, ok := takeoverTime(events, kill); ok {
			takeovers = append(takeovers, took)
		} else {
			r.printf("takeover from %s: not measured, it held no session or no work came to its endpoints\n", kill.owner)
		}
	}
	r.printDurations("takeover after kill -9 of an owner, until new work starts", takeovers)
	accepted := make([]time.Duration, 0, len(r.withdrawals))
	for _, w := range r.withdrawals {
		accepted = append(accepted, max(w.Accepted.Sub(w.Published), 0))
	}
	r.printDurations("last acceptance after the withdrawal of a key", accepted)
	r.printDurations("publication until in force at the last instance", r.propagationTimes)
}

func (r *chaosRun) printDurations(title string, durations []time.Duration) {
	slices.Sort(durations)
	for i := range durations {
		durations[i] = durations[i].Round(time.Millisecond)
	}
	r.printf("%s: %v\n", title, durations)
}

// takeoverTime returns the time from the kill of an owner until another owner
// starts work on an endpoint whose last session the killed owner held. It
// reports false if there is no such start.
func takeoverTime(events []worker.Event, kill ownerKill) (time.Duration, bool) {
	type session struct {
		endpoint modeler.InstanceID
		number   modeler.SessionID
	}
	owners := make(map[session]modeler.InstanceID)
	lastOwner := make(map[modeler.InstanceID]modeler.InstanceID)
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(x, y worker.Event) int { return x.Time.Compare(y.Time) })
	for _, event := range events {
		switch event.Kind {
		case worker.KindHello:
			owners[session{event.Endpoint, event.Session}] = event.Owner
			if event.Time.Before(kill.killedAt) {
				lastOwner[event.Endpoint] = event.Owner
			}
		case worker.KindStart, worker.KindCall:
			// A start that the owner sent may arrive after it was killed.
			byKilled := owners[session{event.Endpoint, event.Session}] == kill.owner
			if event.Time.After(kill.killedAt) && lastOwner[event.Endpoint] == kill.owner && !byKilled {
				return event.Time.Sub(kill.killedAt), true
			}
		case worker.KindUp, worker.KindDown, worker.KindLeave, worker.KindEnd, worker.KindAnswer, worker.KindVoid:
		}
	}

	return 0, false
}
