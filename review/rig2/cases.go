//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

// cases holds the cases by name. A case returns what was broken, or an empty text.
var cases = map[string]func(*rig) (string, error){
	"large-progress":  largeProgress,
	"cancel-unstored": cancelUnstored,
	"late-job":        lateJob,
	"fills":           fillsBesideServing,
	"replaced-route":  replacedRoute,
}

// stands reports whether a job has nothing running during all of the given time.
func (r *rig) stands(j job, during time.Duration) bool {
	for began := time.Now(); time.Since(began) < during; time.Sleep(checkInterval) {
		if r.runs(j).running > 0 {
			return false
		}
	}

	return r.runs(j).running == 0
}

// largeProgress submits a job with a repeat-count. In trouble it has so many tasks over all occurrences that the record
// of its progress exceeds the record-bytes of the store. Nothing else happens.
func largeProgress(r *rig) (string, error) {
	const tasks = 500
	occurrences := 64
	if !r.trouble {
		occurrences = 40
	}
	first := time.Now().Add(time.Second)
	repeated, other := newJob(prefixQueue), newJob(prefixQueue)
	if !r.submit(repeated, map[string]any{
		"spec": "ms=200", "steps": []step{{"count": tasks, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}},
		"first-ms": first.UnixMilli(), "interval-ms": 1000, "repeat-count": occurrences,
	}) {
		return "", errUnable
	}
	due := first.Add(time.Duration(occurrences-1) * time.Second)
	for time.Now().Before(due.Add(time.Second)) {
		time.Sleep(5 * time.Second)
		oversize, overRate := r.store.counts()
		r.log("repeated job: %v; appends refused for their size: %d, calls over the rates: %d", r.runs(repeated), oversize, overRate)
	}
	// The last submission is the end of the traffic. It may be refused.
	accepted := r.submit(other, map[string]any{"spec": "ms=200", "steps": []step{{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}}})
	time.Sleep(finishTime)
	stands := r.stands(repeated, 2*standTime)
	runs := r.runs(repeated)
	r.log("repeated job: %v", runs)
	_, state := r.call(http.MethodGet, repeated, nil)
	_, otherState := r.call(http.MethodGet, other, nil)
	r.log("another job: accepted %v, shown as %q, %v", accepted, otherState, r.runs(other))
	if total := tasks * occurrences; stands && runs.done < total {
		return fmt.Sprintf("the repeated job has nothing running for %v, %v after the end of the traffic, beside idle executors; %d of its %d tasks are done, and it is shown as %q",
			2*standTime, finishTime, runs.done, total, state), nil
	}
	if state != "completed" || !accepted || otherState != "completed" {
		return fmt.Sprintf("the repeated job is shown as %q with all tasks done; another job: accepted %v, shown as %q", state, accepted, otherState), nil
	}

	return "", nil
}

// Numbers of tasks of the large job of cancelUnstored: in all, and started when the other job is cancelled.
const (
	largeCount   = 14000
	largeStarted = 9500
)

// cancelUnstored cancels a job beside a large one. In trouble all entry instances are killed right after the
// acknowledgement of the cancel.
func cancelUnstored(r *rig) (string, error) {
	large, cancelled := newJob(prefixQueue), newJob(prefixQueue)
	if !r.submit(large, map[string]any{"spec": "ms=300", "steps": []step{{"count": largeCount, "cpu": 400, "mem-mb": 16, "estimate-ms": 300}}}) ||
		!r.submit(cancelled, map[string]any{"spec": "ms=1000", "steps": []step{{"count": 600, "cpu": 100, "mem-mb": 16, "estimate-ms": 1000, "anti-affinity": 1}}}) {
		return "", errUnable
	}
	for until := time.Now().Add(60 * time.Second); r.runs(large).starts < largeStarted || r.runs(cancelled).starts == 0; time.Sleep(checkInterval) {
		if time.Now().After(until) {
			return "", errUnable
		}
	}
	r.log("large job: %v; job to cancel: %v", r.runs(large), r.runs(cancelled))
	status, _ := r.call(http.MethodDelete, cancelled, nil)
	acknowledged := time.Now()
	if status/100 != 2 {
		return "", errUnable
	}
	if r.trouble {
		if err := r.killAll(); err != nil {
			return "", err
		}
	}
	// From here on the entry instances are in touch again, and cancel_ms has passed.
	time.Sleep(time.Until(acknowledged.Add(restartDelay + contactTime + cancelTime)))
	before := r.runs(cancelled)
	r.log("%v after the acknowledgement: cancelled job: %v", time.Since(acknowledged).Round(time.Millisecond), before)
	time.Sleep(8 * time.Second)
	after := r.runs(cancelled)
	r.log("%v after the acknowledgement: cancelled job: %v", time.Since(acknowledged).Round(time.Millisecond), after)
	_, state := r.call(http.MethodGet, cancelled, nil)
	if started := after.starts - before.starts; started > 0 {
		return fmt.Sprintf("%d tasks of the cancelled job were started later than cancel_ms after its acknowledgement, by machines in touch; it is shown as %q", started, state), nil
	}

	return "", nil
}

// lateJob submits a job whose tasks may only run on the executors of kind a, a third of all, and a short job that may
// run on any. In trouble the executor of the short job crashes once.
func lateJob(r *rig) (string, error) {
	backlog, short := newJob(prefixQueue), newJob(prefixLookups)
	if !r.submit(backlog, map[string]any{"spec": "ms=60000", "steps": []step{{"count": 60, "cpu": 4000, "mem-mb": 64, "estimate-ms": 60000, "requires": "a"}}}) {
		return "", errUnable
	}
	time.Sleep(contactTime)
	if r.trouble {
		r.mu.Lock()
		r.crashAt = short.id
		r.mu.Unlock()
	}
	if !r.submit(short, map[string]any{"spec": "ms=640", "steps": []step{{"count": 1, "cpu": 8000, "mem-mb": 64, "estimate-ms": 640}}}) {
		return "", errUnable
	}
	// This was the end of the traffic.
	time.Sleep(finishTime)
	stands := r.runs(short).done == 0 && r.stands(short, 5*standTime)
	_, state := r.call(http.MethodGet, short, nil)
	r.log("short job: %v; job with a backlog: %v", r.runs(short), r.runs(backlog))
	if stands && r.runs(short).done == 0 {
		return fmt.Sprintf("a job has nothing running for %v, %v after the end of the traffic, beside six idle executors; it is shown as %q", 5*standTime, finishTime, state), nil
	}

	return "", nil
}

// fillsBesideServing runs a serving task on each executor and submits a job that fills. Without trouble some executors
// have no serving task.
func fillsBesideServing(r *rig) (string, error) {
	serving, filling := newJob(prefixQueue), newJob(prefixQueue)
	count := executors
	if !r.trouble {
		count = executors / 2
	}
	if !r.submit(serving, map[string]any{"spec": "ms=0", "steps": []step{{
		"count": count, "cpu": 1000, "mem-mb": 1024, "long-running": true, "anti-affinity": 1, "image": "web", "target-ms": 200,
	}}}) {
		return "", errUnable
	}
	time.Sleep(contactTime)
	if !r.submit(filling, map[string]any{"spec": "ms=500", "steps": []step{{"count": 2, "cpu": 1000, "mem-mb": 512, "estimate-ms": 500, "fills": true, "image": "batch"}}}) {
		return "", errUnable
	}
	// This was the end of the traffic.
	time.Sleep(finishTime)
	stands := r.runs(filling).done == 0 && r.stands(filling, 5*standTime)
	_, state := r.call(http.MethodGet, filling, nil)
	r.log("serving job: %v; job that fills: %v", r.runs(serving), r.runs(filling))
	if stands && r.runs(filling).done == 0 {
		return fmt.Sprintf("a job has nothing running for %v, %v after the end of the traffic, on executors that use a sixteenth of their capacity; it is shown as %q", 5*standTime, finishTime, state), nil
	}

	return "", nil
}

// replacedRoute accepts a job. In trouble a configuration then replaces its route by one with another name and the
// same host and prefix; otherwise it changes nothing but its version.
func replacedRoute(r *rig) (string, error) {
	accepted := newJob(prefixQueue)
	if !r.submit(accepted, map[string]any{"spec": "ms=1000", "steps": []step{{"count": 600, "cpu": 100, "mem-mb": 16, "estimate-ms": 1000, "anti-affinity": 1}}}) {
		return "", errUnable
	}
	time.Sleep(visibleTime + time.Second)
	name := "queue"
	if r.trouble {
		name = "queue-2"
	}
	r.configure(name)
	r.log("configuration %d: the route of %s is %s", r.version, prefixQueue, name)
	time.Sleep(applyTime + contactTime)
	status, _ := r.call(http.MethodGet, accepted, nil)
	before := r.runs(accepted)
	time.Sleep(visibleTime)
	r.log("job: %v", r.runs(accepted))
	gone := status == http.StatusGone && r.runs(accepted).starts > before.starts
	// What follows is for the record only.
	r.call(http.MethodDelete, accepted, nil)
	time.Sleep(cancelTime + contactTime)
	r.log("%v after the DELETE: job: %v", cancelTime+contactTime, r.runs(accepted))
	if gone {
		return "a GET for an accepted job that nobody has cancelled, and whose tasks are being started, is answered 410", nil
	}

	return "", nil
}
