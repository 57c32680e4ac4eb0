package disrupter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
)

const (
	// deadline bounds the wait of a client for an answer. It is also sent with the
	// request.
	deadline = 3 * time.Second
	// maxTries is the maximum number of times a client sends a job, maxAttempts the
	// maximum number of attempts of a task.
	maxTries    = 4
	maxAttempts = 3
	retryDelay  = 300 * time.Millisecond
	// cancelShare is the share of the jobs that are cancelled, spareShare the share
	// of those submitted with the spare key.
	cancelShare = 0.1
	spareShare  = 0.15
	// soleShare is the share of the jobs that only the endpoint with labelSole may run, and maxSoleCount the
	// maximum number of their tasks.
	soleShare    = 0.1
	maxSoleCount = 2
	// minLength is the minimum time for which a task runs.
	minLength = 100 * time.Millisecond
)

// submittedJob is a job with the answers that its client received.
type submittedJob struct {
	id   string
	work executor.Work
	// prefix and key are those of the job's queue and account.
	prefix, key string
	// resendDelay is the time from the acceptance to another request to submit the
	// job; 0 means that there is none.
	resendDelay time.Duration
	accepted    bool
	cancelled   bool
}

// newJob returns a job of the queue without a policy.
func newJob(id uint64, work executor.Work) *submittedJob {
	return &submittedJob{id: fmt.Sprintf("%016x", id), work: work, prefix: prefix, key: mainKey}
}

// clients submits jobs at a steady rate and records the answers.
type clients struct {
	cluster *cluster
	http    *http.Client
	mu      sync.Mutex
	jobs    []*submittedJob
	// acceptedJobs are the accepted jobs, the latest one last.
	acceptedJobs []*submittedJob
	answers      map[string]int
	pending      sync.WaitGroup
}

func newClients(c *cluster) *clients {
	return &clients{cluster: c, http: &http.Client{Timeout: deadline}, answers: map[string]int{}}
}

// loop submits jobs until stop is closed and waits for their clients.
// sole is a source of its own for the jobs with labelSole.
func (cs *clients) loop(ctx context.Context, random, sole *rand.Rand, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(cs.cluster.settings.Rate))
	defer ticker.Stop()
	defer cs.pending.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		job := newJob(random.Uint64(), randomWork(random, cs.cluster.settings.Mix.maxLength()))
		if sole.Float64() < soleShare && !job.work.Gang && !cs.cluster.settings.Mix.onlySeries() {
			job.work.Requires, job.work.Count = labelSole, min(job.work.Count, maxSoleCount)
			job.work.Fails = sole.IntN(maxAttempts)
		}
		key := mainKey
		if random.Float64() < spareShare {
			key = spareKey
		}
		cancel, firstEntry := random.Float64() < cancelShare, random.IntN(len(cs.cluster.entries))
		cancelDelay := time.Duration(random.Int64N(int64(time.Second)))
		cs.pending.Add(1)
		go cs.run(ctx, job, key, firstEntry, cancel, cancelDelay)
	}
}

// randomWork returns the work of a random job whose tasks run for less than
// maxLength.
func randomWork(random *rand.Rand, maxLength time.Duration) executor.Work {
	work := executor.Work{
		Account: accountName, Spec: fmt.Sprintf("spec %d", random.IntN(1000)), Count: 1 + random.IntN(5), Attempts: maxAttempts,
		Need:   modeler.Resources{Millis: int64(500 + random.IntN(3000)), Memory: int64(1+random.IntN(4)) << 30},
		Length: minLength + time.Duration(random.IntN(int((maxLength-minLength)/time.Millisecond)))*time.Millisecond,
		Gang:   random.Float64() < 0.2,
	}
	if !work.Gang && random.Float64() < 0.15 {
		work.Fails = 1 + random.IntN(maxAttempts)
	}

	return work
}

// body returns the body of the request that submits the job.
func (j *submittedJob) body() []byte {
	count := max(j.work.Steps, 1)
	steps := make([]map[string]any, 0, count)
	for number := range count {
		step := map[string]any{
			"count": j.work.Count, "cpu": j.work.Need.Millis, "mem-mb": j.work.Need.Memory >> 20, "gang": j.work.Gang,
			"estimate-ms": j.work.Length.Milliseconds(), "requires": j.work.Requires, "anti-affinity": j.work.PerEndpoint,
		}
		if number > 0 {
			step["after"] = []int{number - 1}
		}
		steps = append(steps, step)
	}

	return encode(map[string]any{"spec": j.work.Spec, "steps": steps})
}

// run submits a job, retries it until it is accepted or maxTries is reached, and
// cancels it if cancel is set.
func (cs *clients) run(ctx context.Context, job *submittedJob, key string, firstEntry int, cancel bool, cancelDelay time.Duration) {
	defer cs.pending.Done()
	cs.cluster.ledger.Expect(job.id, job.work)
	refused := 0
	for try := range maxTries {
		sentAt := time.Now()
		status, _ := cs.call(ctx, firstEntry+try, http.MethodPost, job, key, job.body())
		cs.countAnswer(status)
		if status == http.StatusOK {
			cs.checkWithdrawnKey(key, sentAt, job.id)
			job.accepted = true
			cs.recordAccepted(job)

			break
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized {
			refused++
		}
		time.Sleep(retryDelay)
	}
	if refused == maxTries {
		cs.cluster.ledger.RecordRefusal(job.id)
	}
	cs.mu.Lock()
	cs.jobs = append(cs.jobs, job)
	cs.mu.Unlock()
	if job.accepted && job.resendDelay > 0 {
		cs.pending.Add(1)
		go cs.resend(ctx, job, firstEntry+1)
	}
	if !job.accepted || !cancel {
		return
	}
	time.Sleep(cancelDelay)
	cs.cluster.ledger.RecordCancelling(job.id)
	if status, _ := cs.call(ctx, firstEntry, http.MethodDelete, job, job.key, nil); status == http.StatusOK {
		cs.cluster.ledger.RecordCancellation(job.id)
		job.cancelled = true
	} else {
		// The cancellation may have taken effect although its answer was lost, so
		// the end of the job is not checked.
		job.accepted = false
	}
}

// resend submits a job that was accepted another time after its resendDelay.
func (cs *clients) resend(ctx context.Context, job *submittedJob, number int) {
	defer cs.pending.Done()
	time.Sleep(job.resendDelay)
	status, _ := cs.call(ctx, number, http.MethodPost, job, job.key, job.body())
	cs.countAnswer(status)
	cs.cluster.ledger.CountCheck("accepted job submitted again")
}

func (cs *clients) recordAccepted(job *submittedJob) {
	cs.cluster.ledger.RecordAccepted(job.id)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.acceptedJobs = append(cs.acceptedJobs, job)
}

// checkWithdrawnKey checks that an accepted request did not use the spare key
// later than revokeBound after its withdrawal.
func (cs *clients) checkWithdrawnKey(key string, sentAt time.Time, id string) {
	cs.cluster.mu.Lock()
	revokedAt := cs.cluster.revokedAt
	cs.cluster.mu.Unlock()
	if key != spareKey || revokedAt.IsZero() {
		return
	}
	cs.cluster.ledger.CountCheck("withdrawn key")
	if sentAt.Sub(revokedAt) > revokeBound {
		cs.cluster.ledger.RecordViolation("withdrawn key works", fmt.Sprintf("%s sent %s after its key was withdrawn", id, sentAt.Sub(revokedAt)))
	}
}

// countAnswer counts an answer by its status; 0 means that there was none.
func (cs *clients) countAnswer(status int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.answers[fmt.Sprint(status)]++
}

// call sends a request to an entry instance and returns the status and body of
// the answer; the status is 0 if there was none.
func (cs *clients) call(ctx context.Context, number int, method string, job *submittedJob, key string, body []byte) (int, []byte) {
	e := cs.cluster.entries[number%len(cs.cluster.entries)]
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", e.ip, frontPort, job.prefix, job.id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set("X-Greengagewall-Key", key)
	request.Header.Set("X-Greengagewall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := cs.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}

	return response.StatusCode, data
}

// awaitEnds waits until every accepted job has ended, records a violation for
// each job that has not ended as expected and returns the number of completed
// jobs.
func (cs *clients) awaitEnds(ctx context.Context, timeout time.Duration) (completed int) {
	until := time.Now().Add(timeout)
	for n, job := range cs.jobs {
		if !job.accepted || !cs.cluster.possible(job) {
			continue
		}
		want := "completed"
		if job.work.Fails >= maxAttempts {
			want = "failed"
		}
		if job.cancelled {
			want = "cancelled"
		}
		state, status := "", 0
		// Every instance is asked at least once for each job, even if the time was
		// spent on earlier jobs.
		for try := n; time.Now().Before(until) || try < n+len(cs.cluster.entries); try++ {
			var shown string
			if shown, status = cs.askState(ctx, try, job); status == http.StatusOK {
				state = shown
			}
			if state == want || job.cancelled && (state == "completed" || state == "failed") {
				break
			}
			time.Sleep(retryDelay / 3)
		}
		cs.cluster.ledger.CountCheck("accepted job ends")
		switch {
		case state == "completed":
			completed++
			cs.cluster.ledger.CheckCompleted(job.id)
		case state != want && (!job.cancelled || state != "failed"):
			cs.cluster.ledger.RecordViolation("accepted job does not end", fmt.Sprintf("%s: state %q, status %d, want %q; %+v", job.id, state, status, want, job.work))
		}
	}

	return completed
}
