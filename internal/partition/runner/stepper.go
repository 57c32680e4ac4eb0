package runner

import (
	"context"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Driver performs the I/O of a Stepper, which starts no goroutines.
type Driver interface {
	// Append appends a batch repeatedly until StopAppend is called.
	Append(batch encoder.Batch)
	StopAppend()
	// Execute executes a command other than an answer or an append. The result
	// is passed to Stepper.HandleResult with the same core.
	Execute(core *owner.Core, cmd owner.Command)
	// Answer answers a waiter. All answers after the first must be dropped.
	Answer(waiter owner.Waiter, reply any, refusal *modeler.Refusal)
}

// Stepper runs the event loop of a Runner step by step in the caller's goroutine
// and with the caller's clock, so that a run can be reproduced exactly. Run must
// not be called.
type Stepper struct {
	*Runner
}

// NewStepper returns a Stepper whose commands driver executes.
func NewStepper(settings Settings, driver Driver) *Stepper {
	r := New(settings)
	r.driver, r.waiters.driver = driver, driver

	return &Stepper{Runner: r}
}

// Tick performs the work of one tick.
func (s *Stepper) Tick() { s.tick(context.Background()) }

// HandleResult passes the result of a command to the core that issued it, or to
// the current core if core is nil.
func (s *Stepper) HandleResult(core *owner.Core, msg owner.Msg) {
	s.handleEvent(context.Background(), event{core: core, msg: msg})
}

// HandlePage applies the log's answer to a read from an offset and returns the
// offset of the next read.
func (s *Stepper) HandlePage(from modeler.Offset, page messenger.Page) modeler.Offset {
	s.follower.lastAnswer.Store(s.settings.Clock().UnixNano())
	if len(page.Records) > 0 {
		from = page.Records[len(page.Records)-1].Offset + 1
		s.handleEvent(context.Background(), event{page: &page})
	}
	if from >= page.Next {
		s.follower.atTail.Store(true)
	}

	return from
}

// HandleRequest passes a caller's request to the core.
func (s *Stepper) HandleRequest(msg owner.Msg) { s.handleRequest(context.Background(), msg) }
