package owner

import (
	"context"
	"net/netip"
	"testing"
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
	// renewedAt is when a renewal last reached e004.
	renewedAt time.Time
	// unanswered holds the results of late renewals with the time at which the owner
	// stops waiting.
	unanswered []lateResult
	// superseded counts the requests to give up the partition.
	superseded int
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
		answering: map[modeler.InstanceID]bool{}, sessions: map[modeler.InstanceID]modeler.SessionID{},
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
		}
	}
}

func (h *takeover) hello(cmd HelloCmd) Msg {
	id := cmd.Endpoint.ID
	if !h.answering[id] {
		return HelloDoneMsg{Endpoint: id, Term: cmd.Request.Term, Sent: h.now, Err: messenger.ErrUnsent}
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
	if cmd.Endpoint.ID == "e004" {
		if h.late {
			h.renewedAt = h.renewedAt.Add(SessionTTL - time.Millisecond)
			msg.Err = context.DeadlineExceeded
			h.unanswered = append(h.unanswered, lateResult{at: h.now.Add(renewTimeout), msg: msg})

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

// TestTakeover_MajorityIsHeldAtOnce guards against a new owner that adds up
// endpoints which accepted its term one after the other. One that has restarted
// since has forgotten the term, so the earlier owner may still have its majority
// and renew the lease of a task that the new owner takes for expired.
func TestTakeover_MajorityIsHeldAtOnce(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer("e000", "e001")
	h.advance(time.Second)
	h.answer("e002")
	h.advance(2 * time.Second)
	h.answer()
	h.advance(15 * time.Second)
	if !h.holdsTask() {
		t.Fatal("the task lapsed although the owner never held a majority")
	}
	h.answer("e000", "e001", "e002")
	h.advance(takeoverWait + TaskLeaseTTL)
	if !h.holdsTask() || !h.core.Ready() {
		t.Fatalf("holds the task %t, ready %t before the lease has ended", h.holdsTask(), h.core.Ready())
	}
	h.advance(leaseMargin + time.Second)
	if h.holdsTask() {
		t.Error("the task did not lapse after its lease had ended")
	}
}

// TestTakeover_MajorityOfClaimedEndpoints guards against two owners that count
// their majorities over different sets of endpoints: the list of the new owner
// lacks endpoints of which the earlier owner still holds a majority.
func TestTakeover_MajorityOfClaimedEndpoints(t *testing.T) {
	claimed := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(claimed, []modeler.InstanceID{"e002", "e003"})
	h.answer("e002", "e003")
	h.advance(15 * time.Second)
	if h.core.Ready() || !h.holdsTask() {
		t.Errorf("with two of the five claimed endpoints: ready %t, holds the task %t", h.core.Ready(), h.holdsTask())
	}
	h.answer("e001", "e002", "e003")
	h.advance(time.Second)
	if !h.core.Ready() || !h.holdsTask() {
		t.Errorf("with three of the five claimed endpoints: ready %t, holds the task %t", h.core.Ready(), h.holdsTask())
	}
}

// TestReady_ListShrinks guards against an owner that regains its majority because
// the list no longer has the endpoints that it lost: a successor may hold them.
// It also guards against a partition that stands still for good after it has lost
// most of its endpoints.
func TestReady_ListShrinks(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer(all...)
	h.advance(time.Second)
	h.answer("e000", "e001")
	h.list("e000", "e001")
	h.advance(unlistedTTL)
	if h.core.Ready() || h.superseded == 0 {
		t.Errorf("with two of the five claimed endpoints: ready %t, superseded %d times", h.core.Ready(), h.superseded)
	}
	h.advance(time.Second)
	if !h.core.Ready() {
		t.Error("not ready although the other endpoints count as removed")
	}
}

// TestReady_EarlierClaimCounts guards against an owner that goes by the endpoints
// of its new claim alone while a successor of the earlier claim, which has not
// read the new one, can still get a majority of the earlier endpoints.
func TestReady_EarlierClaimCounts(t *testing.T) {
	earlier := []modeler.InstanceID{"e000", "e001", "e004"}
	added := []modeler.InstanceID{"f000", "f001", "f002", "f003"}
	h := newTakeover(earlier, earlier)
	h.answer(append(added, earlier...)...)
	h.list(append(added, earlier...)...)
	h.advance(time.Second)
	h.core.nextRoster()
	h.answer(append(added, "e000")...)
	h.send(TermMsg{Term: modeler.NewTerm(3, 0), Seq: 1})
	h.advance(2 * time.Second)
	if h.core.Ready() {
		t.Error("ready with one of the three endpoints of the earlier claim, which has not been replaced")
	}
	h.answer(append(added, "e000", "e001")...)
	h.advance(2 * time.Second)
	h.answer(append(added, "e000")...)
	h.advance(2 * time.Second)
	if !h.core.Ready() {
		t.Error("not ready with a majority of the claim that a majority of the earlier one has seen")
	}
}

// TestLease_LateRenewals guards against a lease that the owner takes for expired
// while renewals that it had given up on have reached the endpoint late, each one
// within the session that the one before it had prolonged.
func TestLease_LateRenewals(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer(all...)
	h.advance(2 * time.Second)
	h.late = true
	h.answer("e000", "e001", "e002", "e003")
	h.advance(2 * time.Second)
	h.advance(h.renewedAt.Add(TaskLeaseTTL).Sub(h.now))
	if !h.holdsTask() {
		t.Error("the task lapsed before its lease at the endpoint had ended")
	}
	h.advance(3 * time.Second)
	if h.holdsTask() {
		t.Error("the task did not lapse after its lease had ended")
	}
}
