package elector

import (
	"math"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// questionClass is a class of questions by their decision time. An instance's questions
// are answered one at a time, so each class is first assigned to instances of its own:
// a question would otherwise wait for one that takes many times as long.
//
// Load pattern: urgent tasks whose policy decides in 30 ms, beside batch work with
// questions of 250 ms that asks again whenever its tickets expire, and gangs with
// questions of more than a second.
type questionClass int

const (
	// classQuick is the class below quickDecisionTime.
	classQuick questionClass = iota
	// classShort is the class from quickDecisionTime up to longDecisionTime.
	classShort
	// classLong is the class from longDecisionTime on.
	classLong
	classCount
)

const (
	// longDecisionTime is the decision time from which a question counts as long.
	longDecisionTime = 250 * time.Millisecond
	// quickDecisionTime is the decision time below which a question counts as quick. A quick question that finds one
	// of the short class before it waits for several times its own decision.
	quickDecisionTime = longDecisionTime / 4
	// demandWindow is the time constant of the moving averages of the demand.
	demandWindow = 5 * time.Second
	// quickHeadroom is the weight of the demand of quick questions when the instances are divided between them and
	// short ones. Quick questions come in bursts, and their work can wait least.
	quickHeadroom = 2.0
)

// classOf returns the class of questions with the decision time.
func classOf(decisionTime time.Duration) questionClass {
	switch {
	case decisionTime >= longDecisionTime:
		return classLong
	case decisionTime >= quickDecisionTime:
		return classShort
	default:
		return classQuick
	}
}

// demandMeter holds the decision time that each class has recently asked for.
type demandMeter struct {
	// average is in seconds of decision time per second, as of updatedAt.
	average   [classCount]float64
	updatedAt definer.Instant
}

// record adds a question.
func (m *demandMeter) record(class questionClass, decisionTime time.Duration, now definer.Instant) {
	m.decay(now)
	m.average[class] += float64(decisionTime) / float64(demandWindow)
}

// decay lets the averages fall to their values at the given time.
func (m *demandMeter) decay(now definer.Instant) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(demandWindow))
		for class := range m.average {
			m.average[class] *= factor
		}
		m.updatedAt = now
	}
}

// quickInstances returns how many of a number of instances quick questions are assigned to
// first; the others are left to short ones. Without a demand of both classes, or with a
// single instance, it returns 0, and all instances serve both.
func (m *demandMeter) quickInstances(instances int) int {
	quick, short := quickHeadroom*m.average[classQuick], m.average[classShort]
	if instances < 2 || quick < minDemand || short < minDemand {
		return 0
	}

	return max(1, min(instances-1, int(math.Round(float64(instances)*quick/(quick+short)))))
}

// minDemand is the demand, in seconds of decision time per second, below which a class
// needs no instances of its own.
const minDemand = 0.05

// splitShort divides the instances for questions that are not long, of which the owner is
// the last one, between quick questions and short ones. The owner, which reaches itself
// without a call, serves quick ones.
func (m *demandMeter) splitShort(addresses []netip.AddrPort) (quick, short []netip.AddrPort) {
	count := m.quickInstances(len(addresses))
	if count == 0 {
		return addresses, addresses
	}

	return addresses[len(addresses)-count:], addresses[:len(addresses)-count]
}
