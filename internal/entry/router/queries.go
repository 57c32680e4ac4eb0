package router

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// unknownJobWait is how long a query for an unknown job waits for this instance to
// read the job from the stream of its partition. Without the wait, a caller that
// queries another instance right after its submission would get "not found".
const unknownJobWait = 500 * time.Millisecond

// RequestReply is the response to GET /v1/requests/{id}.
type RequestReply struct {
	modeler.ResolveReply
	Records []modeler.Record `json:"records,omitempty"`
}

// OffsetReply is an element of the response to GET /v1/config/offsets.
type OffsetReply struct {
	Instance modeler.InstanceID `json:"instance"`
	// Offset is the offset in force; it is -1 if there is none yet.
	Offset modeler.Offset `json:"offset"`
	// LastHeartbeat is the time of the last heartbeat from the instance; it is
	// absent for the responding instance.
	LastHeartbeat time.Time `json:"heard,omitzero"`
}

// StateReply is the response to GET /v1/state.
type StateReply struct {
	Instance  modeler.Instance    `json:"instance"`
	Ready     bool                `json:"ready"`
	Draining  bool                `json:"draining"`
	Config    modeler.Offset      `json:"config"`
	Ownership []modeler.Ownership `json:"ownership"`
	// Loads describes the partitions that this instance owns.
	Loads []modeler.Load `json:"loads"`
	Peers []modeler.Peer `json:"peers"`
	// Endpoints is the number of listed workers and executors.
	Endpoints int `json:"endpoints"`
}

// job serves GET /v1/jobs/{id}[?wait=10s].
func (r *Router) job(w http.ResponseWriter, req *http.Request) {
	teams, anonymous, err := r.readableTeams(req)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	wait, err := parseWait(req)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	id := modeler.JobID(chi.URLParam(req, "id"))
	status, ok := r.awaitJob(req.Context(), wait, func() (modeler.JobStatus, bool) {
		for _, team := range teams {
			status, ok := r.queries.Job(team, id)
			if ok && (!anonymous || r.isOpen(status.Job.Queue)) {
				return status, true
			}
		}

		return modeler.JobStatus{}, false
	})
	if !ok {
		r.writeProblem(w, modeler.NotRun(modeler.CodeNotFound, 0, "no job %q", id))

		return
	}
	r.writeJSON(w, http.StatusOK, status)
}

// parseWait returns the query parameter wait; the default is zero.
func parseWait(req *http.Request) (time.Duration, error) {
	text := req.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, modeler.NotRun(modeler.CodeBadRequest, 0, "wait is %q; it must be a duration up to %s", text, maxWait)
	}

	return wait, nil
}

// awaitJob polls a job until it is final, wait has passed, the caller disconnects
// or this instance shuts down. For an unknown job it stops after unknownJobWait,
// because a longer wait would delay callers and the shutdown.
func (r *Router) awaitJob(ctx context.Context, wait time.Duration, find func() (modeler.JobStatus, bool)) (modeler.JobStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, max(wait, unknownJobWait))
	defer cancel()
	started := time.Now()
	for interval := minPollInterval; ; interval = min(interval*3/2, maxPollInterval) {
		status, ok := find()
		// A shutdown ends the wait, so that the request is answered before the
		// connection is closed.
		if ok && (status.Final || r.draining() || time.Since(started) >= wait) {
			return status, true
		}
		if !ok && time.Since(started) >= unknownJobWait {
			return status, false
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()

			return find()
		case <-timer.C:
		}
	}
}

// records serves GET /v1/jobs/{id}/records and, for the records of calls,
// GET /v1/requests/{id}/records.
func (r *Router) records(w http.ResponseWriter, req *http.Request) {
	teams, anonymous, err := r.readableTeams(req)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	id := chi.URLParam(req, "id")
	for _, team := range teams {
		if records := r.queries.Records(team, id); len(records) > 0 && (!anonymous || r.isOpen(records[0].Queue)) {
			r.writeJSON(w, http.StatusOK, records)

			return
		}
	}
	r.writeProblem(w, modeler.NotRun(modeler.CodeNotFound, 0, "no records of %q", id))
}

// resolve serves GET /v1/requests/{id}. It needs the key of the team, except for
// requests on open queues, because the owner that it asks may void the request.
func (r *Router) resolve(w http.ResponseWriter, req *http.Request) {
	teams, anonymous, err := r.readableTeams(req)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	id := chi.URLParam(req, "id")
	team := teams[0]
	if anonymous {
		var ok bool
		if team, ok = r.openRequest(teams, id); !ok {
			r.writeProblem(w, modeler.NotRun(modeler.CodeNotFound, 0, "no request %q on an open queue", id))

			return
		}
	}
	ctx, cancel := context.WithTimeout(req.Context(), submitTimeout)
	defer cancel()
	reply, err := r.dispatcher.Resolve(ctx, team, modeler.RequestID(id))
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	r.writeJSON(w, http.StatusOK, RequestReply{ResolveReply: reply, Records: r.queries.Records(team, id)})
}

// openRequest returns the team of a request on an open queue. It reports false
// if there are no records of such a request.
func (r *Router) openRequest(teams []modeler.TeamID, id string) (modeler.TeamID, bool) {
	for _, team := range teams {
		if records := r.queries.Records(team, id); len(records) > 0 && r.isOpen(records[0].Queue) {
			return team, true
		}
	}

	return "", false
}

// export serves GET /v1/records.
func (r *Router) export(w http.ResponseWriter, req *http.Request) {
	team, err := r.authenticator.Team(req.Header.Get("Authorization"))
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	r.writeJSON(w, http.StatusOK, r.queries.Export(team))
}

// outcomes serves GET /v1/outcomes: the outcomes, by queue and interval, of the
// idempotent calls of the key's team that this instance has received since its
// start.
func (r *Router) outcomes(w http.ResponseWriter, req *http.Request) {
	team, err := r.authenticator.Team(req.Header.Get("Authorization"))
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	r.writeJSON(w, http.StatusOK, r.tally.Outcomes(team))
}

// configuration serves GET /v1/config.
func (r *Router) configuration(w http.ResponseWriter, req *http.Request) {
	if _, err := r.operator(req); err != nil {
		r.writeProblem(w, err)

		return
	}
	doc, offset, ok := r.config.InForce()
	if !ok {
		r.writeProblem(w, noConfiguration())

		return
	}
	operator, at := r.publisher.Origin()
	r.writeJSON(w, http.StatusOK, ConfigReply{Offset: offset, Document: &doc, Operator: operator, Time: at})
}

// offsets serves GET /v1/config/offsets.
func (r *Router) offsets(w http.ResponseWriter, _ *http.Request) {
	peers := r.membership.Peers()
	replies := make([]OffsetReply, 0, 1+len(peers))
	replies = append(replies, OffsetReply{Instance: r.self.ID, Offset: r.offset()})
	for _, peer := range peers {
		offset := peer.Config
		if peer.LastHeartbeat.IsZero() {
			offset = -1
		}
		replies = append(replies, OffsetReply{Instance: peer.Instance.ID, Offset: offset, LastHeartbeat: peer.LastHeartbeat})
	}
	r.writeJSON(w, http.StatusOK, replies)
}

// offset returns the offset of the configuration in force, or -1 if there is none.
func (r *Router) offset() modeler.Offset {
	if _, offset, ok := r.config.InForce(); ok {
		return offset
	}

	return -1
}

// state serves GET /v1/state. Only operators see the usage of each team.
func (r *Router) state(w http.ResponseWriter, req *http.Request) {
	reply := StateReply{
		Instance: r.self, Ready: r.unready() == "", Draining: r.draining(), Config: r.offset(),
		Ownership: r.queries.Ownership(), Loads: r.queries.Loads(),
		Peers: r.membership.Peers(), Endpoints: len(r.membership.Endpoints()),
	}
	if _, err := r.operator(req); err != nil {
		reply.Loads = withoutTeams(reply.Loads)
		reply.Peers = slices.Clone(reply.Peers)
		for i := range reply.Peers {
			reply.Peers[i].Loads = withoutTeams(reply.Peers[i].Loads)
		}
	}
	r.writeJSON(w, http.StatusOK, reply)
}

// withoutTeams returns a copy of loads without the fields that are keyed by team.
func withoutTeams(loads []modeler.Load) []modeler.Load {
	loads = slices.Clone(loads)
	for i := range loads {
		loads[i].Usage, loads[i].Idle = nil, nil
	}

	return loads
}

// healthz serves GET /healthz, the liveness probe.
func (r *Router) healthz(w http.ResponseWriter, _ *http.Request) {
	r.writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// readyz serves GET /readyz, the readiness probe of the load balancer.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := r.unready(); reason != "" {
		r.writeJSON(w, http.StatusServiceUnavailable, map[string]string{"status": "not ready", "reason": reason})

		return
	}
	r.writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

// unready returns the reasons why this instance is not ready; it is empty if the
// instance is ready. The owners of all partitions need to have been known only
// once: a partition that the configuration adds later must not make every
// instance unready at the same time.
func (r *Router) unready() string {
	var reasons []string
	if r.draining() {
		reasons = append(reasons, "draining")
	}
	if _, _, ok := r.config.InForce(); !ok {
		reasons = append(reasons, "no configuration")
	} else if !r.ownersKnown.Load() {
		if r.dispatcher.OwnersKnown() {
			r.ownersKnown.Store(true)
		} else {
			reasons = append(reasons, "a partition has no known owner")
		}
	}

	return strings.Join(reasons, ", ")
}
