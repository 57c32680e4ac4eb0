package main

import (
	"fmt"
	"net/http"
	"time"
)

// The plays of this file are shown, but are not among the cases. They have no folder of their own.
func init() {
	cases["low-estimate"] = lowEstimate
	cases["fills"] = fillsBesideServing
	cases["replaced-route"] = replacedRoute
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

// Jobs of lowEstimate: their number, the time of a task, and the estimate that is far too low.
const (
	longJobs      = 120
	longTask      = 10 * time.Minute
	shortEstimate = 5 * time.Second
	// watchTime is how long the jobs are watched after the end of the traffic.
	watchTime = 75 * time.Second
)

// lowEstimate submits jobs of one long task each, which use a quarter of the executors together. In trouble their
// estimate is far too low. Nothing else happens.
func lowEstimate(r *rig) (string, error) {
	estimate := longTask
	if r.trouble {
		estimate = shortEstimate
	}
	var jobs []job
	for range longJobs {
		j := newJob(prefixQueue)
		if !r.submit(j, map[string]any{"spec": fmt.Sprintf("ms=%d", longTask.Milliseconds()), "steps": []step{{
			"count": 1, "cpu": 300, "mem-mb": 64, "estimate-ms": estimate.Milliseconds(),
		}}}) {
			return "", errUnable
		}
		jobs = append(jobs, j)
	}
	// This was the end of the traffic.
	time.Sleep(finishTime)
	gaps := r.longestGaps(jobs, watchTime)
	starts, stand, longest := 0, 0, time.Duration(0)
	for _, j := range jobs {
		starts += r.runs(j).starts
		if gaps[j] > standTime {
			stand++
			r.log("job %s had nothing running for %v; %v", j.id, gaps[j].Round(time.Millisecond), r.runs(j))
		}
		longest = max(longest, gaps[j])
	}
	r.log("%d jobs of one task: %d starts, longest time with nothing running %v", longJobs, starts, longest)
	if stand > 0 {
		return fmt.Sprintf("%d of %d jobs had nothing running for over 3 s (%v at most) beside executors of which three quarters are free; their tasks were started %d times and get nowhere", stand, longJobs, longest.Round(time.Millisecond), starts), nil
	}

	return "", nil
}

// longestGaps watches jobs for the given time and returns how long each had nothing running on end.
func (r *rig) longestGaps(jobs []job, during time.Duration) map[job]time.Duration {
	since, longest := map[job]time.Time{}, map[job]time.Duration{}
	for began := time.Now(); time.Since(began) < during; time.Sleep(checkInterval) {
		for _, j := range jobs {
			if r.runs(j).running > 0 {
				delete(since, j)

				continue
			}
			if _, gap := since[j]; !gap {
				since[j] = time.Now()
			}
			longest[j] = max(longest[j], time.Since(since[j]))
		}
	}

	return longest
}
