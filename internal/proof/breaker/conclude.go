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

// mostExplained bounds the violations that are printed with the product's own
// records.
const mostExplained = 6

// settle waits until every accepted job has finished and every open outcome is
// known, and reports whether that happened in time.
func (b *breaker) settle(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, settleTimeout)
	defer stop()
	begun := time.Now()
	resolving, end := context.WithTimeout(ctx, resolveTimeout)
	unknown, left := b.recorder.Resolve(resolving)
	end()
	b.printf("calls whose outcome was unknown: %d, still unknown: %d\n", unknown, left)
	for ctx.Err() == nil {
		report, _, err := b.verify(ctx)
		if err == nil && !slices.ContainsFunc(report.Violations, unfinished) {
			b.printf("settled after %s\n", time.Since(begun).Round(time.Millisecond))

			return true
		}
		time.Sleep(500 * time.Millisecond)
	}

	return false
}

// unfinished reports whether a violation may go away with time.
func unfinished(v verifier.Violation) bool {
	return v.Check == verifier.CheckAccepted || v.Check == verifier.CheckGang
}

func (b *breaker) verify(ctx context.Context) (*verifier.Report, []worker.Event, error) {
	events, err := b.cluster.Ledgers(ctx)
	if err != nil {
		return nil, nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()

	return verifier.Verify(verifier.Evidence{
		Events: events, Limits: limits, Calls: b.recorder.Calls(), Jobs: b.recorder.Jobs(),
		Withdrawals: b.withdrawals, KeyBound: keyBound, LeavingBound: leaveBound,
	}), events, nil
}

// conclude verifies the run and prints the report.
func (b *breaker) conclude(ctx context.Context, settled bool) error {
	report, events, err := b.verify(ctx)
	if err != nil {
		return err
	}
	total := b.printFaults()
	b.printCounts("callers", b.load.counts)
	b.printf("checks: %d\n", report.Total())
	for _, name := range verifier.Checks() {
		b.printf("  %-34s %7d\n", name, report.Counts[name])
	}
	b.printMeasures(events)
	explained := ""
	for i, v := range report.Violations {
		b.printf("violation: %s\n", v)
		if v.Job != "" && v.Job != explained && i < mostExplained {
			explained = v.Job
			b.printf("  the product says: %s\n", b.recorder.Explain(ctx, v.Job))
		}
	}
	for _, err := range b.problems {
		b.printf("problem: %v\n", err)
	}
	switch {
	case !report.OK():
		return errors.Errorf("%d violations in %d checks", len(report.Violations), report.Total())
	case total == 0:
		return errors.New("no fault was injected")
	case !settled:
		return errors.New("the work did not settle")
	case len(b.problems) > 0:
		return errors.Errorf("%d problems of the run itself", len(b.problems))
	}

	return nil
}

func (b *breaker) printFaults() int {
	total := 0
	for _, n := range b.counts {
		total += n
	}
	b.printf("faults: %d, %d drawn ones could not be applied\n", total, b.skipped)
	b.printCounts("", b.counts)

	return total
}

func (b *breaker) printCounts(title string, counts map[string]int) {
	if title != "" {
		b.printf("%s:\n", title)
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		b.printf("  %-34s %7d\n", name, counts[name])
	}
}

// printMeasures prints how long takeovers and configurations took.
func (b *breaker) printMeasures(events []worker.Event) {
	var takeovers []time.Duration
	for _, k := range b.kills {
		if took, ok := takeover(events, k); ok {
			takeovers = append(takeovers, took)
		} else {
			b.printf("takeover from %s: not measured, it held no session or no work came to its endpoints\n", k.owner)
		}
	}
	b.printDurations("takeover after kill -9 of an owner, until new work starts", takeovers)
	accepted := make([]time.Duration, 0, len(b.withdrawals))
	for _, w := range b.withdrawals {
		accepted = append(accepted, max(w.Accepted.Sub(w.Published), 0))
	}
	b.printDurations("last acceptance after the withdrawal of a key", accepted)
	b.printDurations("publication until in force at the last instance", b.spread)
}

func (b *breaker) printDurations(title string, durations []time.Duration) {
	slices.Sort(durations)
	for i := range durations {
		durations[i] = durations[i].Round(time.Millisecond)
	}
	b.printf("%s: %v\n", title, durations)
}

// takeover returns the time from the death of an owner until a later owner
// started work at one of the endpoints on which it had the last session.
func takeover(events []worker.Event, k kill) (time.Duration, bool) {
	type session struct {
		endpoint modeler.InstanceID
		number   modeler.SessionID
	}
	owners := make(map[session]modeler.InstanceID)
	last := make(map[modeler.InstanceID]modeler.InstanceID)
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(x, y worker.Event) int { return x.Time.Compare(y.Time) })
	for _, event := range events {
		switch event.Kind {
		case worker.KindHello:
			owners[session{event.Endpoint, event.Session}] = event.Owner
			if event.Time.Before(k.at) {
				last[event.Endpoint] = event.Owner
			}
		case worker.KindStart, worker.KindCall:
			// A start that the dead owner sent may arrive after its death.
			own := owners[session{event.Endpoint, event.Session}] == k.owner
			if event.Time.After(k.at) && last[event.Endpoint] == k.owner && !own {
				return event.Time.Sub(k.at), true
			}
		case worker.KindUp, worker.KindDown, worker.KindLeave, worker.KindEnd, worker.KindAnswer, worker.KindVoid:
		}
	}

	return 0, false
}
