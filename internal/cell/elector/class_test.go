package elector

import (
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// quickCost and shortCost are the decision times of the load pattern of questionClass.
	quickCost = 27 * time.Millisecond
	shortCost = 240 * time.Millisecond
)

// askBoth records a second in which the policies were asked 100 quick questions and 20
// short ones.
func (e *Elector) askBoth() {
	for range 100 {
		e.recordDemand(classOf(quickCost), quickCost)
	}
	for range 20 {
		e.recordDemand(classOf(shortCost), shortCost)
	}
	e.liveNow = nil
}

// TestQuickQuestionsStayBesideShortOnes guards against quick questions of urgent tasks that
// wait behind those of batch work, which take several times as long.
func TestQuickQuestionsStayBesideShortOnes(t *testing.T) {
	for _, instances := range []int{7, 30, 147} {
		e := withPeers(instances)
		e.askBoth()
		short := map[netip.AddrPort]bool{}
		for range len(e.live().byClass[classShort]) {
			short[e.assignQuestion(shortCost, nil)] = true
		}
		for range 2 * len(e.live().byClass[classQuick]) {
			if address := e.assignQuestion(quickCost, nil); short[address] {
				t.Errorf("%d instances: a quick question is assigned to %v beside a short one", instances, address)
			}
		}
	}
}

// TestQuickQuestionUsesIdleInstance guards against quick questions that queue at their own
// instances while another instance has none.
func TestQuickQuestionUsesIdleInstance(t *testing.T) {
	e := withPeers(7)
	e.askBoth()
	for _, address := range e.live().byClass[classQuick] {
		e.questionLoad[address] = quickDecisionTime
	}
	if address := e.assignQuestion(quickCost, nil); e.questionLoad[address] != quickCost {
		t.Errorf("assigned to %v with a load of %v, want an idle instance", address, e.questionLoad[address]-quickCost)
	}
}

// TestInstancesServeAllWithoutDemand guards against instances that stay set aside for a
// class whose questions have ended, and against a class without any instance.
func TestInstancesServeAllWithoutDemand(t *testing.T) {
	var m demandMeter
	now := definer.Instant(time.Hour)
	if got := m.quickInstances(12); got != 0 {
		t.Errorf("%d instances for quick questions without a demand, want no division", got)
	}
	for range 500 {
		m.record(classQuick, quickCost, now)
		m.record(classShort, shortCost, now)
	}
	for instances := 2; instances <= 60; instances++ {
		if got := m.quickInstances(instances); got < 1 || got >= instances {
			t.Errorf("%d of %d instances for quick questions, want one at least for each class", got, instances)
		}
	}
	m.decay(now.Add(time.Minute))
	if got := m.quickInstances(12); got != 0 {
		t.Errorf("%d instances for quick questions a minute after the last one, want no division", got)
	}
}
