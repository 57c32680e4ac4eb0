package breaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// maxBodyBytes is the size of the largest call body; answers of this size
	// arrive in several packets.
	maxBodyBytes = 64 << 10
	// gangRuntime is longer than the task lease, because a shorter gang job can
	// end before its owner can know that the start of one task was lost.
	gangRuntime = "8s"
)

// load generates the work of all callers.
type load struct {
	recorder *caller.Recorder
	seed     uint64
	group    sync.WaitGroup
	mu       sync.Mutex
	counts   map[string]int
}

// stream is one caller that sends the same kind of work repeatedly.
type stream struct {
	name     string
	interval time.Duration
	send     func(ctx context.Context, random *rand.Rand, key string) caller.Result
}

// start starts the callers, which stop when ctx is done.
func (l *load) start(ctx context.Context) {
	var streams []stream
	for _, kind := range []struct {
		stream
		callers int
	}{
		{stream{"lookup", 15 * time.Millisecond, l.lookup}, 8},
		{stream{"alert", 100 * time.Millisecond, l.alert}, 6},
		{stream{"batch", 150 * time.Millisecond, l.batch}, 6},
		{stream{"gang", 4 * time.Second, l.gang}, 2},
		{stream{"once", 200 * time.Millisecond, l.once}, 4},
	} {
		for range kind.callers {
			streams = append(streams, kind.stream)
		}
	}
	for i, s := range streams {
		random := rand.New(rand.NewPCG(l.seed, uint64(i)+100))
		l.group.Go(func() { l.run(ctx, s, i, random) })
	}
}

// run sends requests until ctx is done. A request that is in progress then is
// completed.
func (l *load) run(ctx context.Context, s stream, caller int, random *rand.Rand) {
	requestCtx := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		result := s.send(requestCtx, random, fmt.Sprintf("%s-%d-%d", s.name, caller, n))
		l.count(s.name, result)
		wait := time.Duration(float64(s.interval) * (0.5 + random.Float64()))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// count counts the answers that callers received, for the report.
func (l *load) count(name string, result caller.Result) {
	answer := "accepted"
	if !result.Last.OK() {
		answer = string(result.Last.Outcome)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name+": "+answer]++
	if !result.Last.OK() {
		code := string(result.Last.Code)
		if code == "" {
			code = "no answer"
		}
		l.counts["refused: "+code]++
	}
}

func (l *load) lookup(ctx context.Context, random *rand.Rand, key string) caller.Result {
	return l.recorder.Call(ctx, callerTeam(teamCalls), lookup, key, body(random), 2)
}

// alert sends some requests twice at the same time, like a caller that retries
// early.
func (l *load) alert(ctx context.Context, random *rand.Rand, key string) caller.Result {
	data := body(random)
	if random.IntN(3) > 0 {
		return l.recorder.Call(ctx, callerTeam(teamCalls), alert, key, data, maxAttempts)
	}
	var group sync.WaitGroup
	group.Go(func() { l.recorder.Call(ctx, callerTeam(teamCalls), alert, key, data, maxAttempts) })
	result := l.recorder.Call(ctx, callerTeam(teamCalls), alert, key, data, maxAttempts)
	group.Wait()

	return result
}

func (l *load) batch(ctx context.Context, random *rand.Rand, key string) caller.Result {
	run := time.Duration(50+random.IntN(600)) * time.Millisecond
	_, result := l.recorder.Submit(ctx, callerTeam(teamBatch), key, caller.JobRequest{
		Queue: queueBatch, Tasks: 1 + random.IntN(6),
		Needs:   modeler.Resources{Millis: int64(500 + random.IntN(3000)), Memory: 1 << 30},
		Runtime: run.String(), Command: []string{"run", run.String()},
	}, false, maxAttempts)

	return result
}

func (l *load) gang(ctx context.Context, random *rand.Rand, key string) caller.Result {
	_, result := l.recorder.Submit(ctx, callerTeam(teamGang), key, caller.JobRequest{
		Queue: queueGang, Tasks: 2 + random.IntN(3), Needs: modeler.Resources{Millis: 4000, Memory: 2 << 30},
		Runtime: gangRuntime, Command: []string{"run", gangRuntime},
	}, true, maxAttempts)

	return result
}

func (l *load) once(ctx context.Context, random *rand.Rand, key string) caller.Result {
	run := time.Duration(50+random.IntN(300)) * time.Millisecond
	_, result := l.recorder.Submit(ctx, callerTeam(teamGang), key, caller.JobRequest{
		Queue: queueOnce, Tasks: 1, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 30},
		Runtime: run.String(), Once: true, Command: []string{"run", run.String()},
	}, false, maxAttempts)

	return result
}

// body returns a random body: usually up to 200 bytes, one in 20 of maxBodyBytes.
func body(random *rand.Rand) []byte {
	size := 1 + random.IntN(200)
	if random.IntN(20) == 0 {
		size = maxBodyBytes
	}
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}

	return data
}
