package admitter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// request is a request in the model of TestAdmitter_Goodput.
type request struct {
	at     time.Duration
	arrive time.Duration
	ticket *Permit
	served bool
}

// agenda orders requests by their next event.
type agenda []*request

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(*request)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]

	return last
}

const (
	servers = 8
	service = 10 * time.Millisecond
	timeout = 100 * time.Millisecond
	length  = 10 * time.Second
)

// goodput returns the requests per second that are served in time by a first-in
// first-out queue in front of 8 servers of 100/s each, under Poisson arrivals.
// Late requests are served all the same, as a backend does that cannot know.
func goodput(rate float64, protected bool, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	var now time.Duration
	a := New(WithClock(func() time.Time { return time.Unix(0, int64(now)) }))
	if !protected {
		a = nil
	}
	var busy, good int
	var queue []*request
	events := &agenda{}
	next := func() { heap.Push(events, &request{at: now + time.Duration(random.ExpFloat64()/rate*1e9)}) }
	begin := func(r *request) {
		busy++
		r.served, r.at = true, now+service
		heap.Push(events, r)
	}
	for next(); now < length; {
		r := heap.Pop(events).(*request)
		now = r.at
		if !r.served {
			next()
			r.arrive = now
			if a != nil {
				ticket, err := a.Admit(Request{Team: "t", Class: modeler.ClassUrgent, Timeout: timeout})
				if err != nil {
					continue
				}
				r.ticket = ticket
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
		if r.ticket != nil && late {
			r.ticket.Done(modeler.Unknown(modeler.CodeTimeout, 0, "late"))
		} else if r.ticket != nil {
			r.ticket.Done(nil)
		}
		if len(queue) > 0 {
			begin(queue[0])
			queue = queue[1:]
		}
	}

	return float64(good) / length.Seconds()
}

// TestAdmitter_Goodput guards against a collapse of goodput at three times
// capacity. The unprotected queue shows that the model can collapse.
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
			t.Errorf("seed %d: the unprotected queue reaches %.0f/s, so the model shows nothing", seed, unprotected)
		}
	}
}

// TestAdmitter_Order guards against shedding urgent work before deferred work,
// and a team within its share before one far above it.
func TestAdmitter_Order(t *testing.T) {
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
	// The bound is 64; greedy's share of it is 16 while modest is active.
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
		t.Error("the freed place went to the team above its share")
	}
}

// TestAdmitter_Lanes guards against a service without answers that keeps out the
// calls of other services.
func TestAdmitter_Lanes(t *testing.T) {
	a := New()
	for range 100 {
		ticket, err := a.Admit(Request{Service: "dead", Class: modeler.ClassUrgent, Timeout: timeout})
		if err != nil {
			t.Fatal(err)
		}
		ticket.Done(modeler.Unknown(modeler.CodeTimeout, 0, "late"))
	}
	for range first {
		if _, err := a.Admit(Request{Service: "alive", Class: modeler.ClassUrgent, Timeout: timeout}); err != nil {
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
