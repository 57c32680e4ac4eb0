package admitter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// request is a request in the simulation of TestAdmitter_Goodput.
type request struct {
	at     time.Duration
	arrive time.Duration
	permit *Permit
	served bool
}

// eventQueue is a heap of requests, ordered by the time of their next event.
type eventQueue []*request

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(*request)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

const (
	servers  = 8
	service  = 10 * time.Millisecond
	timeout  = 100 * time.Millisecond
	duration = 10 * time.Second
)

// goodput returns the requests per second that are served in time by a FIFO queue
// in front of 8 servers of 100/s each, under Poisson arrivals. Late requests are
// served, too, because a backend cannot know that they are late.
func goodput(rate float64, protected bool, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	var now time.Duration
	a := New(WithClock(func() time.Time { return time.Unix(0, int64(now)) }))
	if !protected {
		a = nil
	}
	var busy, good int
	var queue []*request
	events := &eventQueue{}
	next := func() { heap.Push(events, &request{at: now + time.Duration(random.ExpFloat64()/rate*1e9)}) }
	begin := func(r *request) {
		busy++
		r.served, r.at = true, now+service
		heap.Push(events, r)
	}
	for next(); now < duration; {
		r := heap.Pop(events).(*request)
		now = r.at
		if !r.served {
			next()
			r.arrive = now
			if a != nil {
				permit, err := a.Admit(Request{Team: "t", Class: modeler.ClassUrgent, Timeout: timeout})
				if err != nil {
					continue
				}
				r.permit = permit
			}
			if queue = append(queue, r); busy < servers {
				begin(queue[0])
				queue = queue[1:]
			}

			continue
		}
		busy--
		late := now-r.arrive > timeout
		if !late {
			good++
		}
		if r.permit != nil && late {
			r.permit.Done(modeler.Unknown(modeler.CodeTimeout, 0, "late"))
		} else if r.permit != nil {
			r.permit.Done(nil)
		}
		if len(queue) > 0 {
			begin(queue[0])
			queue = queue[1:]
		}
	}

	return float64(good) / duration.Seconds()
}

// TestAdmitter_Goodput guards against a collapse of goodput at three times the
// capacity. The unprotected queue shows that the simulation can collapse.
func TestAdmitter_Goodput(t *testing.T) {
	const capacity = servers * 100
	for seed := range uint64(3) {
		peak := 0.0
		for _, load := range []float64{0.7, 0.9, 1, 1.5, 2} {
			peak = max(peak, goodput(load*capacity, true, seed))
		}
		tripled, unprotected := goodput(3*capacity, true, seed), goodput(3*capacity, false, seed)
		t.Logf("seed %d: peak %.0f/s, at three times capacity %.0f/s, unprotected %.0f/s", seed, peak, tripled, unprotected)
		if tripled < 0.9*peak {
			t.Errorf("seed %d: %.0f/s is below 90%% of the peak of %.0f/s", seed, tripled, peak)
		}
		if unprotected > 0.5*peak {
			t.Errorf("seed %d: the unprotected queue reaches %.0f/s, so the simulation does not show a collapse", seed, unprotected)
		}
	}
}

// TestAdmitter_SheddingOrder guards against shedding urgent work before deferred
// work, and a team within its share before one far above it.
func TestAdmitter_SheddingOrder(t *testing.T) {
	shares := map[modeler.TeamID]int64{"greedy": 1, "modest": 3}
	a := New(WithShares(func(team modeler.TeamID) int64 { return shares[team] }))
	fill := func(team modeler.TeamID, class modeler.Class) (admitted int) {
		for {
			if _, err := a.Admit(Request{Team: team, Class: class}); err != nil {
				return admitted
			}
			admitted++
		}
	}
	modest, err := a.Admit(Request{Team: "modest", Class: modeler.ClassUrgent})
	if err != nil {
		t.Fatal(err)
	}
	// The limit is 64; the share of greedy is 16 of it while modest is active.
	if n := fill("greedy", modeler.ClassUrgent); n < 32 || n > 48 {
		t.Errorf("greedy holds %d of 64 against its share of 16", n)
	}
	if n := fill("modest", modeler.ClassDeferred); n < 3 {
		t.Errorf("modest got %d deferred", n)
	}
	if n := fill("modest", modeler.ClassUrgent); n < 12 {
		t.Errorf("modest got %d urgent after its deferred work was shed", n)
	}
	modest.Done(nil)
	if _, err := a.Admit(Request{Team: "greedy", Class: modeler.ClassUrgent}); err == nil {
		t.Error("the freed capacity went to the team above its share")
	}
}

// TestAdmitter_SeparateServices guards against a service whose calls all time out
// keeping out the calls of other services.
func TestAdmitter_SeparateServices(t *testing.T) {
	a := New()
	for range 100 {
		permit, err := a.Admit(Request{Service: "overloaded", Class: modeler.ClassUrgent, Timeout: timeout})
		if err != nil {
			t.Fatal(err)
		}
		permit.Done(modeler.Unknown(modeler.CodeTimeout, 0, "late"))
	}
	for range initialLimit {
		if _, err := a.Admit(Request{Service: "healthy", Class: modeler.ClassUrgent, Timeout: timeout}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestBudget guards against retries above a tenth of the first attempts.
func TestBudget(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 10_000 {
		b.Earn()
		if b.Spend() {
			retries++
		}
	}
	if retries > 1000+retryBurst {
		t.Errorf("%d retries of 10000 calls", retries)
	}
}
