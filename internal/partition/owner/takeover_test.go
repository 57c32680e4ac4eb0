package owner

import (
	"context"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// takeover drives the core of a new owner. Only the endpoints in answering
// answer it. The stream places the task j/0 at the endpoint e004.
type takeover struct {
	core      *Core
	now       time.Time
	answering map[modeler.InstanceID]bool
	sessions  map[modeler.InstanceID]modeler.SessionID
	// late makes the endpoint e004 answer no renewal. Each one reaches it just
	// before its session ends.
	late bool
	// lateBy is how long the owner waits for a late renewal.
	lateBy time.Duration
	// renewedAt is when a renewal last reached e004.
	renewedAt time.Time
	// unanswered holds the results of late renewals with the time at which the owner
	// stops waiting.
	unanswered []lateResult
	// expired holds the endpoints whose session has ended at the next renewal.
	expired map[modeler.InstanceID]bool
	// stale holds the endpoints that have seen a later term.
	stale map[modeler.InstanceID]bool
	// renewals counts the renewals sent to each endpoint.
	renewals map[modeler.InstanceID]int
	// superseded counts the requests to give up the partition, laterTerms the
	// requested claims that name an endpoint with a later term.
	superseded, laterTerms int
}

// lateResult is the result of a renewal that is not answered in time.
type lateResult struct {
	at  time.Time
	msg RenewDoneMsg
}

func workerInstance(id modeler.InstanceID) modeler.Instance {
	return modeler.Instance{ID: id, Kind: modeler.KindWorker, Region: "costa", Address: netip.MustParseAddrPort("127.0.0.1:1")}
}

// newTakeover returns a new owner whose claim names claimed and whose list of
// instances has listed.
func newTakeover(claimed, listed []modeler.InstanceID) *takeover {
	state := replayer.New("costa-1")
	for _, id := range claimed {
		state.Endpoints = append(state.Endpoints, workerInstance(id))
	}
	state.Jobs["j"] = &replayer.Job{
		Job:   modeler.Job{ID: "j", Team: "humo", Queue: "q", Kind: modeler.WorkBatch, Tasks: 1, Needs: modeler.Resources{Millis: 1000}},
		Tasks: []replayer.Task{{State: modeler.TaskRunning, Attempt: 1, Endpoint: "e004"}}, Open: 1,
	}
	h := &takeover{
		core: New("a", modeler.NewTerm(2, 0), 1, state), now: time.Unix(1_800_000_000, 0),
		lateBy: renewTimeout, answering: map[modeler.InstanceID]bool{}, sessions: map[modeler.InstanceID]modeler.SessionID{},
		expired: map[modeler.InstanceID]bool{}, stale: map[modeler.InstanceID]bool{}, renewals: map[modeler.InstanceID]int{},
	}
	h.list(listed...)

	return h
}

// list passes the platform's list of instances to the core.
func (h *takeover) list(ids ...modeler.InstanceID) {
	msg := EndpointsMsg{}
	for _, id := range ids {
		msg.Instances = append(msg.Instances, workerInstance(id))
	}
	h.send(msg)
}

func (h *takeover) answer(ids ...modeler.InstanceID) {
	clear(h.answering)
	for _, id := range ids {
		h.answering[id] = true
	}
}

func (h *takeover) send(msg Msg) {
	for _, cmd := range h.core.Update(msg, h.now) {
		switch cmd := cmd.(type) {
		case HelloCmd:
			h.send(h.hello(cmd))
		case RenewCmd:
			if reply := h.renew(cmd); reply != nil {
				h.send(reply)
			}
		case AppendCmd:
			h.send(CommittedMsg{Seq: cmd.Batch.Seq})
		case SupersededCmd:
			h.superseded++
		case ClaimCmd:
			if cmd.Endpoint != "" {
				h.laterTerms++
			}
		}
	}
}

func (h *takeover) hello(cmd HelloCmd) Msg {
	id := cmd.Endpoint.ID
	if !h.answering[id] {
		return HelloDoneMsg{Endpoint: id, Term: cmd.Request.Term, Sent: h.now, Err: messenger.ErrUnsent}
	}
	if h.stale[id] {
		return HelloDoneMsg{Endpoint: id, Term: cmd.Request.Term, Sent: h.now, Err: messenger.ErrStaleTerm}
	}
	h.sessions[id]++
	reply := messenger.HelloReply{Session: h.sessions[id]}
	if id == "e004" {
		reply.Tasks = []messenger.Task{{ID: "j/0", Job: "j", Team: "humo", Attempt: 1}}
	}

	return HelloDoneMsg{Endpoint: id, Term: cmd.Request.Term, Sent: h.now, Reply: reply}
}

func (h *takeover) renew(cmd RenewCmd) Msg {
	msg := RenewDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Sent: h.now}
	h.renewals[cmd.Endpoint.ID]++
	if h.expired[cmd.Endpoint.ID] {
		delete(h.expired, cmd.Endpoint.ID)
		msg.Err = messenger.ErrSessionExpired

		return msg
	}
	if cmd.Endpoint.ID == "e004" {
		if h.late {
			h.renewedAt = h.renewedAt.Add(SessionTTL - time.Millisecond)
			msg.Err = context.DeadlineExceeded
			h.unanswered = append(h.unanswered, lateResult{at: h.now.Add(h.lateBy), msg: msg})

			return nil
		}
		h.renewedAt, msg.Reply.Tasks = h.now, []modeler.TaskID{"j/0"}
	}
	if !h.answering[cmd.Endpoint.ID] {
		msg.Err = messenger.ErrUnsent
	}

	return msg
}

// renewTimeout is how long the runner waits for the answer to a renewal.
const renewTimeout = 500 * time.Millisecond

func (h *takeover) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(25 * time.Millisecond)
		for len(h.unanswered) > 0 && !h.unanswered[0].at.After(h.now) {
			msg := h.unanswered[0].msg
			h.unanswered = h.unanswered[1:]
			h.send(msg)
		}
		h.send(TickMsg{})
	}
}

// holdsTask reports whether the owner still takes the task j/0 for running at
// the endpoint that the stream names.
func (h *takeover) holdsTask() bool { return h.core.tasks["j/0"].endpoint != nil }
