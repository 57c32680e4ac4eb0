package runner

import (
	"context"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Driver carries out what a Runner decides, when a Stepper takes the place of
// the runner's goroutines.
type Driver interface {
	// Append appends a batch again and again until Settle is called.
	Append(batch encoder.Batch)
	StopAppend()
	// Execute carries out a command other than an answer or an append; the
	// result comes back through Stepper.Result with the same core.
	Execute(core *owner.Core, cmd owner.Command)
	// Answer answers a waiter. Answers after the first one are to be dropped.
	Answer(waiter owner.Waiter, reply any, refusal *modeler.Refusal)
}

// Stepper runs the loop of a Runner step by step in the caller's goroutine and
// time, so that a run can be repeated exactly. Run must not be called.
type Stepper struct {
	*Runner
}

// NewStepper returns a Stepper whose commands are carried out by driver.
func NewStepper(set Settings, driver Driver) *Stepper {
	r := New(set)
	r.driver, r.waiting.driver = driver, driver

	return &Stepper{Runner: r}
}

// Tick does the work of one tick.
func (s *Stepper) Tick() { s.tick(context.Background()) }

// HandleResult passes the result of a command to the core that gave it; without a
// core, to the present one.
func (s *Stepper) HandleResult(core *owner.Core, msg owner.Msg) {
	s.handle(context.Background(), event{core: core, msg: msg})
}

// HandlePage takes an answer of the log to a read from an offset, and returns the
// offset to read from next.
func (s *Stepper) HandlePage(from modeler.Offset, page messenger.Page) modeler.Offset {
	s.follow.answered.Store(s.set.Clock().UnixNano())
	if len(page.Records) > 0 {
		from = page.Records[len(page.Records)-1].Offset + 1
		s.handle(context.Background(), event{page: &page})
	}
	if from >= page.Next {
		s.follow.tail.Store(true)
	}

	return from
}

// HandleRequest passes a request of a caller to the core.
func (s *Stepper) HandleRequest(msg owner.Msg) { s.ask(context.Background(), msg) }
