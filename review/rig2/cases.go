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
	"pending":         pendingCount,
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

// siteWidth is the largest number of tasks of a step in the site file, and interval the time between two occurrences of
// largeProgress.
const (
	siteWidth = 60
	interval  = 150 * time.Millisecond
)

// repeatedJob returns a job of tasks of 200 ms that is due first at the given time.
func repeatedJob(first time.Time, count, occurrences int, interval time.Duration) map[string]any {
	return map[string]any{
		"spec": "ms=200", "steps": []step{{"count": count, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}},
		"first-ms": first.UnixMilli(), "interval-ms": interval.Milliseconds(), "repeat-count": occurrences,
	}
}

// largeProgress submits a job with a repeat-count. In trouble it has so many tasks over all occurrences that the record
// of its progress exceeds the record-bytes of the store. Nothing else happens.
func largeProgress(r *rig) (string, error) {
	occurrences := 500
	if !r.trouble {
		occurrences = 300
	}
	first := time.Now().Add(time.Second)
	repeated, other := newJob(prefixQueue), newJob(prefixQueue)
	if !r.submit(repeated, repeatedJob(first, siteWidth, occurrences, interval)) {
		return "", errUnable
	}
	due := first.Add(time.Duration(occurrences-1) * interval)
	for time.Now().Before(due.Add(time.Second)) {
		time.Sleep(5 * time.Second)
		oversize, overRate := r.store.counts()
		r.log("repeated job: %v; appends refused for their size: %d, calls over the rates: %d, claims: %d", r.runs(repeated), oversize, overRate, r.claims())
	}
	// The last submission is the end of the traffic. It may be refused.
	r.submit(other, map[string]any{"spec": "ms=200", "steps": []step{{"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 200}}})
	time.Sleep(finishTime)
	stands := r.stands(repeated, 2*standTime)
	runs := r.runs(repeated)
	r.call(http.MethodGet, repeated, nil)
	r.call(http.MethodGet, other, nil)
	r.log("repeated job: %v; another job: %v; claims: %d", runs, r.runs(other), r.claims())
	if total := siteWidth * occurrences; stands && runs.done < total {
		return fmt.Sprintf("the repeated job has nothing running for %v, %v after the end of the traffic, beside idle executors; %d of its %d tasks are done",
			2*standTime, finishTime, runs.done, total), nil
	}

	return "", nil
}

// The repeated job of cancelUnstored: its tasks an occurrence, its occurrences and the time between them, and how many of
// its tasks have started when the other job is submitted.
const (
	manyCount       = 10
	manyOccurrences = 1500
	manyInterval    = 25 * time.Millisecond
	manyStarted     = 9500
)

// cancelUnstored cancels a job beside one with a repeat-count. In trouble all entry instances are killed right after the
// acknowledgement of the cancel.
func cancelUnstored(r *rig) (string, error) {
	large, cancelled := newJob(prefixQueue), newJob(prefixQueue)
	if !r.submit(large, repeatedJob(time.Now().Add(time.Second), manyCount, manyOccurrences, manyInterval)) {
		return "", errUnable
	}
	for until := time.Now().Add(50 * time.Second); r.runs(large).starts < manyStarted; time.Sleep(checkInterval) {
		if time.Now().After(until) {
			return "", errUnable
		}
	}
	if !r.submit(cancelled, map[string]any{"spec": "ms=4000", "steps": []step{{"count": siteWidth, "cpu": 100, "mem-mb": 16, "estimate-ms": 4000, "anti-affinity": 1}}}) {
		return "", errUnable
	}
	time.Sleep(time.Second)
	if r.runs(cancelled).starts == 0 {
		return "", errUnable
	}
	r.log("repeated job: %v; job to cancel: %v", r.runs(large), r.runs(cancelled))
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

// unhealthyTime is how long the executor of pendingCount is unhealthy.
const unhealthyTime = 6500 * time.Millisecond

// pendingCount fills eight of nine executors and submits jobs for which only the ninth has room. In trouble this one is
// unhealthy and refuses starts.
func pendingCount(r *rig) (string, error) {
	filling := newJob(prefixQueue)
	if !r.submit(filling, map[string]any{"spec": "ms=60000", "steps": []step{{
		"count": executors - 1, "cpu": executorMillis, "mem-mb": 64, "estimate-ms": 60000, "anti-affinity": 1,
	}}}) {
		return "", errUnable
	}
	time.Sleep(contactTime)
	for _, e := range r.executors {
		if r.trouble && e.isIdle() {
			e.makeUnhealthy()
		}
	}
	var waiting []job
	for range 12 {
		j := newJob(prefixLookups)
		if !r.submit(j, map[string]any{"spec": "ms=500", "steps": []step{{"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}}}) {
			return "", errUnable
		}
		waiting = append(waiting, j)
	}
	time.Sleep(visibleTime + pendingAge)
	pending, notBegun := r.pending(prefixLookups), 0
	for _, j := range waiting {
		if r.runs(j).starts == 0 {
			notBegun++
		}
	}
	r.log("pending %d; %d of %d jobs, accepted over %v before, have not begun", pending, notBegun, len(waiting), visibleTime+pendingAge)
	if 2*pending < notBegun {
		return fmt.Sprintf("a machine in touch gives %d jobs as pending, where %d have not begun", pending, notBegun), nil
	}

	return "", nil
}
