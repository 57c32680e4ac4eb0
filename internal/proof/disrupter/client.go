package disrupter

import (
	"bytes"
	"context"
	"encoding/json"
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
	// deadline is how long a client waits for an answer.
	deadline = 3 * time.Second
	// mostTries is how often a client sends a job, and mostAttempts how often a task may fail.
	mostTries    = 4
	mostAttempts = 3
	retryPause   = 300 * time.Millisecond
	// cancelShare and spareShare are the shares of the jobs that are cancelled and that use the spare key.
	cancelShare = 0.1
	spareShare  = 0.15
)

// submitted is a job as its client knows it.
type submitted struct {
	id        string
	work      executor.Work
	accepted  bool
	cancelled bool
}

// clients submit jobs at a steady rate and remember what was answered.
type clients struct {
	cluster *cluster
	http    *http.Client
	mu      sync.Mutex
	jobs    []*submitted
	answers map[string]int
	work    sync.WaitGroup
}

func newClients(c *cluster) *clients {
	return &clients{cluster: c, http: &http.Client{Timeout: deadline}, answers: map[string]int{}}
}

// loop submits jobs until stop is closed.
func (cs *clients) loop(ctx context.Context, random *rand.Rand, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(cs.cluster.settings.Rate))
	defer ticker.Stop()
	defer cs.work.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		job := &submitted{id: fmt.Sprintf("%016x", random.Uint64()), work: draw(random)}
		key := mainKey
		if random.Float64() < spareShare {
			key = spareKey
		}
		cancel, first := random.Float64() < cancelShare, random.IntN(len(cs.cluster.entries))
		pause := time.Duration(random.Int64N(int64(time.Second)))
		cs.work.Add(1)
		go cs.run(ctx, job, key, first, cancel, pause)
	}
}

// draw returns the work of a job.
func draw(random *rand.Rand) executor.Work {
	work := executor.Work{
		Account: accountName, Spec: fmt.Sprintf("spec %d", random.IntN(1000)), Count: 1 + random.IntN(5), Attempts: mostAttempts,
		Need:   modeler.Resources{Millis: int64(500 + random.IntN(3000)), Memory: int64(1+random.IntN(4)) << 30},
		Length: time.Duration(100+random.IntN(900)) * time.Millisecond,
		Gang:   random.Float64() < 0.2,
	}
	if !work.Gang && random.Float64() < 0.15 {
		work.Fails = 1 + random.IntN(mostAttempts)
	}

	return work
}

// body returns the job as it is sent.
func (j *submitted) body() []byte {
	return encode(map[string]any{"spec": j.work.Spec, "steps": []map[string]any{{
		"count": j.work.Count, "cpu": j.work.Need.Millis, "mem-mb": j.work.Need.Memory >> 20, "gang": j.work.Gang,
		"estimate-ms": j.work.Length.Milliseconds(),
	}}})
}

// run submits a job, repeats it as the answers allow, and may cancel it.
func (cs *clients) run(ctx context.Context, job *submitted, key string, first int, cancel bool, pause time.Duration) {
	defer cs.work.Done()
	cs.cluster.ledger.Expect(job.id, job.work)
	refused := 0
	for try := range mostTries {
		sent := time.Now()
		status, _ := cs.call(ctx, first+try, http.MethodPost, job.id, key, job.body())
		cs.count(status)
		if status == http.StatusOK {
			cs.checkKey(key, sent, job.id)
			job.accepted = true

			break
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized {
			refused++
		}
		time.Sleep(retryPause)
	}
	if refused == mostTries {
		cs.cluster.ledger.RecordRefusal(job.id)
	}
	cs.mu.Lock()
	cs.jobs = append(cs.jobs, job)
	cs.mu.Unlock()
	if !job.accepted || !cancel {
		return
	}
	time.Sleep(pause)
	if status, _ := cs.call(ctx, first, http.MethodDelete, job.id, mainKey, nil); status == http.StatusOK {
		cs.cluster.ledger.RecordCancellation(job.id)
		job.cancelled = true
	} else {
		// The cancellation may have taken effect without an answer.
		job.accepted = false
	}
}

// checkKey checks that a withdrawn key no longer works.
func (cs *clients) checkKey(key string, sent time.Time, id string) {
	cs.cluster.mu.Lock()
	revoked := cs.cluster.revoked
	cs.cluster.mu.Unlock()
	if key != spareKey || revoked.IsZero() {
		return
	}
	cs.cluster.ledger.CountCheck("withdrawn key")
	if sent.Sub(revoked) > revokeBound {
		cs.cluster.ledger.RecordViolation("withdrawn key works", fmt.Sprintf("%s sent %s after its key was withdrawn", id, sent.Sub(revoked)))
	}
}

// count counts an answer; 0 stands for none.
func (cs *clients) count(status int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.answers[fmt.Sprint(status)]++
}

// call sends a request to an entry instance and returns the status, 0 for none.
func (cs *clients) call(ctx context.Context, number int, method, id, key string, body []byte) (int, []byte) {
	e := cs.cluster.entries[number%len(cs.cluster.entries)]
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", e.ip, frontPort, prefix, id), bytes.NewReader(body))
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

// settle waits until every accepted job is in its end state, and reports those
// that are not.
func (cs *clients) settle(ctx context.Context, patience time.Duration) (completed int) {
	until := time.Now().Add(patience)
	for n, job := range cs.jobs {
		if !job.accepted {
			continue
		}
		want := "completed"
		if job.work.Fails >= mostAttempts {
			want = "failed"
		}
		if job.cancelled {
			want = "cancelled"
		}
		state, status := "", 0
		// Each job is asked for at every instance at least, however long the ones before it took.
		for try := n; time.Now().Before(until) || try < n+len(cs.cluster.entries); try++ {
			var data []byte
			if status, data = cs.call(ctx, try, http.MethodGet, job.id, mainKey, nil); status == http.StatusOK {
				var answer struct {
					State string `json:"state"`
				}
				if err := json.Unmarshal(data, &answer); err == nil {
					state = answer.State
				}
			}
			if state == want || job.cancelled && (state == "completed" || state == "failed") {
				break
			}
			time.Sleep(retryPause / 3)
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
