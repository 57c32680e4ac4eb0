package runner

import (
	"context"
	"sync"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

// answer is the result of a caller's request: a reply or a refusal.
type answer struct {
	reply   any
	refusal *modeler.Refusal
}

// waiters holds the callers that wait for an answer of the core.
type waiters struct {
	mu      sync.Mutex
	lastID  owner.Waiter
	answers map[owner.Waiter]chan answer
	// driver receives the answers instead of the channels. It is nil outside a
	// Stepper.
	driver Driver
}

// register adds a waiter and returns it with the channel for its answer.
func (w *waiters) register() (owner.Waiter, <-chan answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	answers := make(chan answer, 1)
	w.answers[w.lastID] = answers

	return w.lastID, answers
}

// answer delivers the first answer to a waiter and drops later ones.
func (w *waiters) answer(id owner.Waiter, a answer) {
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

// failAll answers all waiters when the runner stops. The outcome is unknown,
// because their requests may have been sent to endpoints.
func (w *waiters) failAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, answers := range w.answers {
		delete(w.answers, id)
		answers <- answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetryAfter, "the instance is shutting down")}
	}
}

// waiterOf returns the waiter of a request, 0 if the message has none.
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

// request passes a caller's request to the core and waits for the answer. If ctx
// is done first, the core answers with the outcome of the request as it is known
// at that time.
func (r *Runner) request(ctx context.Context, build func(owner.Waiter) owner.Msg) (any, error) {
	id, answers := r.waiters.register()
	if !r.requests.Push(build(id)) {
		r.waiters.answer(id, answer{refusal: modeler.NotRun(modeler.CodeOverload, notOwnerRetryAfter,
			"partition %s: too many requests wait", r.settings.Partition.Name)})
	}
	var got answer
	select {
	case got = <-answers:
	case <-r.done:
		got = r.answerAfterStop(answers)
	case <-ctx.Done():
		r.abandon(id)
		select {
		case got = <-answers:
		case <-r.done:
			got = r.answerAfterStop(answers)
		}
	}
	if got.refusal != nil {
		return nil, got.refusal
	}

	return got.reply, nil
}

// abandon notifies the core that a caller stops waiting. The message goes
// through the same ring as the request, so that the core handles the request
// first.
func (r *Runner) abandon(id owner.Waiter) {
	if !r.requests.Push(owner.AbandonMsg{Waiter: id}) {
		r.waiters.answer(id, answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetryAfter,
			"partition %s: the caller stopped waiting", r.settings.Partition.Name)})
	}
}

// answerAfterStop returns the answer to a caller after the runner has stopped.
func (r *Runner) answerAfterStop(answers <-chan answer) answer {
	select {
	case got := <-answers:
		return got
	default:
		return answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetryAfter, "the instance is shutting down")}
	}
}

// Submit passes a job to the owner, which accepts or refuses it.
func (r *Runner) Submit(ctx context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
	reply, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.SubmitMsg{Waiter: w, SubmitMsg: msg} })
	got, _ := reply.(modeler.SubmitReply)

	return got, err
}

// Cancel requests the owner to cancel a job.
func (r *Runner) Cancel(ctx context.Context, msg modeler.CancelMsg) error {
	_, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.CancelMsg{Waiter: w, CancelMsg: msg} })

	return err
}

// Call requests the owner to execute a call.
func (r *Runner) Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	reply, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.CallMsg{Waiter: w, CallMsg: msg} })
	got, _ := reply.(modeler.CallReply)

	return got, err
}

// Resolve requests the owner to determine the outcome of a request.
func (r *Runner) Resolve(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	reply, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.ResolveMsg{Waiter: w, ResolveMsg: msg} })
	got, _ := reply.(modeler.ResolveReply)

	return got, err
}

// TransferTokens requests the owner to transfer part of a team's idle allotment to
// another partition.
func (r *Runner) TransferTokens(ctx context.Context, msg modeler.TokensMsg) error {
	_, err := r.request(ctx, func(w owner.Waiter) owner.Msg { return owner.RequestTransferMsg{Waiter: w, TokensMsg: msg} })

	return err
}

// TakeOver makes the runner claim the partition from the owner of a term even if
// that owner is not suspected to have failed. The request has no effect once a
// later term is in the stream.
func (r *Runner) TakeOver(term modeler.Term) { r.takeOverTerm.Store(uint64(term)) }

// Drain makes the owner refuse new work and stops the runner from claiming the
// partition.
func (r *Runner) Drain() { r.draining.Store(true) }
