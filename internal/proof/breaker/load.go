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
	// tries bounds the attempts of one request.
	tries = 6
	// longestBody is the size of the largest call body in bytes; answers of
	// this size come in several packets.
	longestBody = 64 << 10
	// gangRun is longer than the task lease. A shorter all-at-once job can end
	// before its owner can know that the start of one task was lost.
	gangRun = "8s"
)

// load is the work of all callers.
type load struct {
	recorder *caller.Recorder
	seed     uint64
	group    sync.WaitGroup
	mu       sync.Mutex
	counts   map[string]int
}

// stream is one caller that sends a kind of work again and again.
type stream struct {
	name  string
	every time.Duration
	send  func(ctx context.Context, random *rand.Rand, key string) caller.Result
}

// start starts the callers; they end with ctx.
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

// run sends until ctx ends. A request that has begun is finished.
func (l *load) run(ctx context.Context, s stream, caller int, random *rand.Rand) {
	open := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		result := s.send(open, random, fmt.Sprintf("%s-%d-%d", s.name, caller, n))
		l.count(s.name, result)
		wait := time.Duration(float64(s.every) * (0.5 + random.Float64()))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// count keeps what callers got, for the report.
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
	return l.recorder.Call(ctx, teamOf(teamCalls), lookup, key, body(random), 2)
}

// alert sends some requests twice at the same time, as an impatient caller
// does.
func (l *load) alert(ctx context.Context, random *rand.Rand, key string) caller.Result {
	data := body(random)
	if random.IntN(3) > 0 {
		return l.recorder.Call(ctx, teamOf(teamCalls), alert, key, data, tries)
	}
	var group sync.WaitGroup
	group.Go(func() { l.recorder.Call(ctx, teamOf(teamCalls), alert, key, data, tries) })
	result := l.recorder.Call(ctx, teamOf(teamCalls), alert, key, data, tries)
	group.Wait()

	return result
}

func (l *load) batch(ctx context.Context, random *rand.Rand, key string) caller.Result {
	run := time.Duration(50+random.IntN(600)) * time.Millisecond
	_, result := l.recorder.Submit(ctx, teamOf(teamBatch), key, caller.JobRequest{
		Queue: queueBatch, Tasks: 1 + random.IntN(6),
		Needs:   modeler.Resources{Millis: int64(500 + random.IntN(3000)), Memory: 1 << 30},
		Runtime: run.String(), Command: []string{"run", run.String()},
	}, false, tries)

	return result
}

func (l *load) gang(ctx context.Context, random *rand.Rand, key string) caller.Result {
	_, result := l.recorder.Submit(ctx, teamOf(teamGang), key, caller.JobRequest{
		Queue: queueGang, Tasks: 2 + random.IntN(3), Needs: modeler.Resources{Millis: 4000, Memory: 2 << 30},
		Runtime: gangRun, Command: []string{"run", gangRun},
	}, true, tries)

	return result
}

func (l *load) once(ctx context.Context, random *rand.Rand, key string) caller.Result {
	run := time.Duration(50+random.IntN(300)) * time.Millisecond
	_, result := l.recorder.Submit(ctx, teamOf(teamGang), key, caller.JobRequest{
		Queue: queueOnce, Tasks: 1, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 30},
		Runtime: run.String(), Once: true, Command: []string{"run", run.String()},
	}, false, tries)

	return result
}

// body returns a random body, usually small.
func body(random *rand.Rand) []byte {
	size := 1 + random.IntN(200)
	if random.IntN(20) == 0 {
		size = longestBody
	}
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}

	return data
}
