package disrupter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
)

const (
	// pollInterval is the interval at which callers ask for the state of a job.
	pollInterval = 40 * time.Millisecond
	// pollWindow is the number of accepted jobs, the latest ones, that they ask for.
	pollWindow = 100
)

// poller asks random entry instances for the states of accepted jobs.
type poller struct {
	clients *clients
	random  *rand.Rand
	pending sync.WaitGroup
}

// loop asks for a state at each pollInterval until stop is closed and waits for
// the answers.
func (p *poller) loop(ctx context.Context, stop <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	defer p.pending.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		job, number := p.randomJob(), p.random.IntN(len(p.clients.cluster.entries))
		if job == nil {
			continue
		}
		p.pending.Add(1)
		go p.run(ctx, number, job)
	}
}

// run asks an entry instance for the state of a job.
func (p *poller) run(ctx context.Context, number int, job *submittedJob) {
	defer p.pending.Done()
	p.clients.askState(ctx, number, job)
}

// randomJob returns a random job of the latest pollWindow accepted ones, or nil if
// there is none.
func (p *poller) randomJob() *submittedJob {
	p.clients.mu.Lock()
	defer p.clients.mu.Unlock()
	jobs := p.clients.acceptedJobs
	if len(jobs) == 0 {
		return nil
	}
	jobs = jobs[max(0, len(jobs)-pollWindow):]

	return jobs[p.random.IntN(len(jobs))]
}

// askState asks an entry instance for the state of a job, and records and returns
// the state with the status of the answer. The state is empty if the answer shows
// none.
func (cs *clients) askState(ctx context.Context, number int, job *submittedJob) (state string, status int) {
	askedAt := time.Now()
	status, data := cs.call(ctx, number, http.MethodGet, job, job.key, nil)
	switch status {
	case http.StatusOK:
		var answer struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(data, &answer); err != nil {
			cs.cluster.ledger.RecordViolation("state cannot be read", job.id+": "+string(data))

			return "", 0
		}
		state = answer.State
	case http.StatusNotFound:
		state = executor.StateUnknown
	default:
		return "", status
	}
	cs.cluster.ledger.RecordShown(job.id, state, askedAt)

	return state, status
}
