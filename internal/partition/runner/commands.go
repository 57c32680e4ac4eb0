package runner

import (
	"context"
	"sync"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

// answer is what a caller gets.
type answer struct {
	reply   any
	refusal *modeler.Refusal
}

// waiting holds the callers that wait for the core.
type waiting struct {
	mu      sync.Mutex
	last    owner.Waiter
	answers map[owner.Waiter]chan answer
	// driver takes the answers in place of the channels; nil but in a Stepper.
	driver Driver
}

// add returns a new waiter and the channel of its answer.
func (w *waiting) add() (owner.Waiter, <-chan answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	answers := make(chan answer, 1)
	w.answers[w.last] = answers

	return w.last, answers
}

// answer answers a waiter once; later answers are dropped.
func (w *waiting) answer(id owner.Waiter, a answer) {
	if w.driver != nil {
		w.driver.Answer(id, a.reply, a.refusal)

		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if answers, ok := w.answers[id]; ok {
		delete(w.answers, id)
		answers <- a
	}
}

// fail answers all waiters when the runner stops. Their requests may have
// been sent.
func (w *waiting) fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, answers := range w.answers {
		delete(w.answers, id)
		answers <- answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetry, "the instance is shutting down")}
	}
}

// waiterOf returns the caller of a request.
func waiterOf(msg owner.Msg) owner.Waiter {
	switch msg := msg.(type) {
	case owner.SubmitMsg:
		return msg.Waiter
	case owner.CancelMsg:
		return msg.Waiter
	case owner.CallMsg:
		return msg.Waiter
	case owner.ResolveMsg:
		return msg.Waiter
	case owner.RequestTransferMsg:
		return msg.Waiter
	}

	return 0
}

// request passes a caller's request to the core and waits for the answer. When
// ctx ends first, the core says what is true of the request at that moment.
func (r *Runner) request(ctx context.Context, build func(owner.Waiter) owner.Msg) (any, error) {
	id, answers := r.waiting.add()
	if !r.asked.Push(build(id)) {
		r.waiting.answer(id, answer{refusal: modeler.NotRun(modeler.CodeOverload, notOwnerRetry,
			"partition %s: too many requests wait", r.set.Partition.Name)})
	}
	var got answer
	select {
	case got = <-answers:
	case <-r.done:
		got = r.stopped(answers)
	case <-ctx.Done():
		r.abandon(id)
		select {
		case got = <-answers:
		case <-r.done:
			got = r.stopped(answers)
		}
	}
	if got.refusal != nil {
		return nil, got.refusal
	}

	return got.reply, nil
}

// abandon tells the core that a caller stops waiting. It goes through the
// same ring as the request, so that the core knows the request by then.
func (r *Runner) abandon(id owner.Waiter) {
	if !r.asked.Push(owner.AbandonMsg{Waiter: id}) {
		r.waiting.answer(id, answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetry,
			"partition %s: the caller stopped waiting", r.set.Partition.Name)})
	}
}

// stopped returns the answer of a caller whose runner has stopped.
func (r *Runner) stopped(answers <-chan answer) answer {
	select {
	case got := <-answers:
		return got
	default:
		return answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetry, "the instance is shutting down")}
	}
}

// Submit has the owner accept a job.
func (r *Runner) Submit(ctx context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
	reply, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.SubmitMsg{Waiter: w, SubmitMsg: msg} })
	got, _ := reply.(modeler.SubmitReply)

	return got, err
}

// Cancel has the owner cancel a job.
func (r *Runner) Cancel(ctx context.Context, msg modeler.CancelMsg) error {
	_, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.CancelMsg{Waiter: w, CancelMsg: msg} })

	return err
}

// Call has the owner execute a call.
func (r *Runner) Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	reply, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.CallMsg{Waiter: w, CallMsg: msg} })
	got, _ := reply.(modeler.CallReply)

	return got, err
}

// Resolve has the owner find out what became of a request.
func (r *Runner) Resolve(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	reply, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.ResolveMsg{Waiter: w, ResolveMsg: msg} })
	got, _ := reply.(modeler.ResolveReply)

	return got, err
}

// GiveTokens has the owner give part of a team's idle allotment away.
func (r *Runner) GiveTokens(ctx context.Context, msg modeler.TokensMsg) error {
	_, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.RequestTransferMsg{Waiter: w, TokensMsg: msg} })

	return err
}

// TakeOver makes the runner claim the partition although its owner is not
// suspected.
func (r *Runner) TakeOver() { r.claimNow.Store(true) }

// Drain makes the owner refuse new work and the runner claim nothing.
func (r *Runner) Drain() { r.draining.Store(true) }
