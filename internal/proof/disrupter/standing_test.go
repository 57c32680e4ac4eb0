package disrupter

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
)

// TestStandWatcher guards against jobs that stand for too long without a violation, and against violations for jobs
// that have had a run meanwhile, stood shorter, or belong to a busy account or service.
func TestStandWatcher(t *testing.T) {
	for _, c := range []struct {
		name  string
		stand func(n int) []executor.Stand
		want  int
	}{
		{"stands", func(int) []executor.Stand { return []executor.Stand{{Job: "j"}} }, 1},
		{"two stand", func(int) []executor.Stand { return []executor.Stand{{Job: "j"}, {Job: "k"}} }, 2},
		{"has runs", func(n int) []executor.Stand { return []executor.Stand{{Job: "j", Starts: n / 20}} }, 0},
		{"goes on at times", func(n int) []executor.Stand {
			if n%20 == 0 {
				return nil
			}

			return []executor.Stand{{Job: "j"}}
		}, 0},
		{"busy account", func(int) []executor.Stand { return []executor.Stand{{Job: "j", AccountShare: maxLoadShare}} }, 0},
		{"busy service", func(int) []executor.Stand { return []executor.Stand{{Job: "j", ServiceShare: maxLoadShare}} }, 0},
	} {
		w := &standWatcher{spells: map[string]*spell{}}
		var got int
		for n, now := 0, time.Now(); n < 100; n, now = n+1, now.Add(standInterval) {
			violations, _ := w.check(c.stand(n), now)
			got += len(violations)
		}
		if got != c.want {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.want)
		}
	}
}

// TestStandWatcher_BusyService guards against a job that counts the time in a busy service as time under a light load,
// and against one that stands in a busy service without a note.
func TestStandWatcher_BusyService(t *testing.T) {
	w := &standWatcher{spells: map[string]*spell{}}
	noted, now := 0, time.Now()
	for n := range 50 {
		stand := executor.Stand{Job: "j"}
		if n >= 10 && n < 40 {
			stand.ServiceShare = maxLoadShare
		}
		violations, notes := w.check([]executor.Stand{stand}, now)
		if len(violations) > 0 {
			t.Errorf("violation in check %d, although the load has been light for a second at most", n)
		}
		noted += len(notes)
		now = now.Add(standInterval)
	}
	if noted != 1 {
		t.Errorf("%d notes, want 1", noted)
	}
}

// TestDisturbance guards against checks that begin while a fault is under way or has just ended.
func TestDisturbance(t *testing.T) {
	var d disturbance
	d.begin()
	d.begin()
	d.end()
	later := time.Now().Add(time.Minute)
	if got := d.calmFor(later); got != 0 {
		t.Errorf("calm for %s during a fault", got)
	}
	d.end()
	if got := d.calmFor(later); got < 50*time.Second || got > time.Minute {
		t.Errorf("calm for %s, a minute after the end of the last fault", got)
	}
	d.begin()
	d.clear()
	if got := d.calmFor(later); got < 50*time.Second {
		t.Errorf("calm for %s, a minute after the end of all faults", got)
	}
}
