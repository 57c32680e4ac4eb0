package simulator

import (
	"testing"
	"time"
)

// questionSlack is the time of a question beside the policy's decision: its way there and
// back, and the rounds of placement before and after it.
const questionSlack = 100 * time.Millisecond

// simulate simulates a cell of 1,100 endpoints with the mix of work.
func simulate(load float64) *Result {
	const endpoints = 1100

	return Run(Options{
		Seed: 1, Endpoints: endpoints, Instances: 147, Classes: Mix(endpoints, load), Duration: 20 * time.Second, DrainTime: 10 * time.Second,
		Accounts: 60, LimitFactor: 1.9, Round: 15 * time.Millisecond,
	})
}

// TestWideGangsStartAfterOneQuestion guards against wide gangs that ask a slow policy about
// a few endpoints at a time, and find their room gone when the answer arrives, in a cell
// with room for many of them.
func TestWideGangsStartAfterOneQuestion(t *testing.T) {
	for _, c := range []struct {
		load, share float64
	}{{0.6, 0.8}, {0.8, 0.5}} {
		result := simulate(c.load)
		gangs := &result.Classes[0]
		policy := Mix(1, c.load)[0].Policy
		question := policy.Decide + 100*policy.Each
		if wait := gangs.Wait(c.share); wait > question+questionSlack {
			t.Errorf("load %.1f: %.0f%% of the gangs have started after %v, want at most the time %v of one question", c.load, 100*c.share, wait, question+questionSlack)
		}
		for _, class := range result.Classes[1:] {
			if class.InTime < class.Jobs*98/100 {
				t.Errorf("load %.1f: %d of %d jobs of class %s are in time", c.load, class.InTime, class.Jobs, class.Name)
			}
		}
		if result.OverCapacity > 0 || result.InvalidTickets > 0 {
			t.Errorf("load %.1f: %d starts over capacity, %d without a valid ticket", c.load, result.OverCapacity, result.InvalidTickets)
		}
	}
}

// TestSameSeedSameResult guards against simulations that can't be compared with one another.
func TestSameSeedSameResult(t *testing.T) {
	options := Options{
		Seed: 3, Endpoints: 40, Instances: 7, Classes: Mix(40, 0.7), Duration: 5 * time.Second, DrainTime: 5 * time.Second, Accounts: 6, LimitFactor: 1.9,
		Round: 15 * time.Millisecond,
	}
	first, second := Run(options), Run(options)
	if first.Questions != second.Questions || first.Classes[0].Earned != second.Classes[0].Earned || first.Classes[0].Jobs == 0 {
		t.Errorf("%d and %d questions, %v and %v earned", first.Questions, second.Questions, first.Classes[0].Earned, second.Classes[0].Earned)
	}
}

// TestHotAccountsLeaveRoom guards against the burst of an account, and of two, that is
// accepted while gangs wait and takes their room, against jobs of it that are accepted and
// not served, and against refusals while nothing waits.
func TestHotAccountsLeaveRoom(t *testing.T) {
	const endpoints = 350
	simulate := func(load float64, hot int) *Result {
		return Run(Options{
			Seed: 2, Endpoints: endpoints, Instances: 30, Classes: Mix(endpoints, load), Duration: 18 * time.Second, DrainTime: 10 * time.Second,
			Accounts: 20, LimitFactor: 1.9, Round: 15 * time.Millisecond, RateFactor: 1.5, Hot: hot, HotFactor: 7, HotClass: SmallClass,
			HotFrom: 8 * time.Second, HotUntil: 16 * time.Second,
		})
	}
	calm := simulate(0.3, 1)
	if small := &calm.Classes[SmallClass]; small.HotRefused > 0 || small.HotUseful < small.Hot*98/100 {
		t.Errorf("calm cell: %d of %d jobs of the hot account are refused and %d served", small.HotRefused, small.Hot, small.HotUseful)
	}
	for hot := 1; hot <= 2; hot++ {
		small := &simulate(0.8, hot).Classes[SmallClass]
		if small.HotRefused < small.Hot/4 {
			t.Errorf("%d hot accounts: %d of %d jobs are refused while gangs wait", hot, small.HotRefused, small.Hot)
		}
		if accepted := small.Hot - small.HotRefused; small.HotUseful < accepted*95/100 {
			t.Errorf("%d hot accounts: %d of %d accepted jobs are served", hot, small.HotUseful, accepted)
		}
	}
}
