package router

import (
	"context"
	"io"
	"net/http"
	"reflect"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/admitter"
	"gitlab.com/greengagewall/greengagewall/internal/entry/dispatcher"
)

const (
	// defaultAttempts limits the starts of a task on a queue that sets no limit.
	defaultAttempts = 3
	mediaTypeBinary = "application/octet-stream"
	// writeMargin is the time allowed for writing the response after the timeout
	// of a call.
	writeMargin = 10 * time.Second
)

// submit serves POST /v1/jobs.
func (r *Router) submit(w http.ResponseWriter, req *http.Request) {
	job, err := r.readJob(w, req)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	permit, err := r.admitter.Admit(admitter.Request{Team: job.Team, Class: job.Class, Timeout: submitTimeout})
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), submitTimeout)
	defer cancel()
	reply, err := r.dispatcher.Submit(ctx, job)
	permit.Done(asRefusal(err))
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	w.Header().Set(HeaderKey, job.Request)
	w.Header().Set("Location", "/v1/jobs/"+string(reply.Job))
	status := http.StatusCreated
	if reply.Duplicate {
		status = http.StatusOK
	}
	r.writeJSON(w, status, reply)
}

// readJob decodes and validates a job and sets the fields that its queue
// determines.
func (r *Router) readJob(w http.ResponseWriter, req *http.Request) (modeler.Job, error) {
	var body JobRequest
	if err := decode(w, req, &body); err != nil {
		return modeler.Job{}, err
	}
	declared, err := r.expandDeclaredJob(&body)
	if err != nil {
		return modeler.Job{}, err
	}
	if err := body.validate(r.now()); err != nil {
		return modeler.Job{}, err
	}
	key, err := requestKey(req, false)
	if err != nil {
		return modeler.Job{}, err
	}
	doc, queue, err := r.queue(body.Queue)
	if err != nil {
		return modeler.Job{}, err
	}
	team, err := r.chargedTeam(req, queue)
	if err != nil {
		return modeler.Job{}, err
	}
	if declared != "" && declared != team {
		return modeler.Job{}, modeler.NotRun(modeler.CodeWrongTeam, 0, "job %q is not declared for team %s", body.Job, team)
	}
	job := r.makeJob(body, queue, team, key)
	if known, ok := r.queries.Job(team, job.ID); ok {
		return job, checkSameWork(known.Job, job)
	}
	if err := checkLimit(doc, job); err != nil {
		return modeler.Job{}, err
	}

	return job, r.dispatcher.CheckFit(job)
}

// expandDeclaredJob replaces the body by the job that the configuration declares
// under its name and returns the team of that declaration. The team is empty if
// the body describes the job itself.
func (r *Router) expandDeclaredJob(body *JobRequest) (modeler.TeamID, error) {
	if body.Job == "" {
		return "", nil
	}
	doc, _, ok := r.config.InForce()
	if !ok {
		return "", noConfiguration()
	}
	index := slices.IndexFunc(doc.Jobs, func(t modeler.Template) bool { return t.Name == body.Job })
	if index < 0 {
		return "", modeler.NotRun(modeler.CodeNotFound, 0, "no job %q is declared", body.Job)
	}
	others := *body
	others.Job, others.Deadline, others.Command = "", time.Time{}, nil
	if !reflect.ValueOf(others).IsZero() || len(body.Command) > 0 {
		return "", badRequest("only deadline may be given with the name of a declared job")
	}
	template := doc.Jobs[index]
	deadline := body.Deadline
	if deadline.IsZero() {
		var err error
		if deadline, err = template.Deadline.At(r.now()); err != nil {
			return "", modeler.NotRun(modeler.CodeBadConfig, 0, "job %q: %v", body.Job, err)
		}
	}
	*body = JobRequest{
		Job: body.Job, Queue: template.Queue, Tasks: template.Tasks, Needs: template.Needs,
		Runtime: Duration(template.Runtime), Deadline: deadline, Once: template.Once, Rack: template.Rack,
		Command: template.Command,
	}

	return template.Team, nil
}

// makeJob returns the job that a body describes, with the defaults of its queue.
func (r *Router) makeJob(body JobRequest, queue modeler.Queue, team modeler.TeamID, key string) modeler.Job {
	job := modeler.Job{
		ID: dispatcher.JobID(team, key), Team: team, Queue: queue.Name, Request: key,
		Kind: queue.Kind, Class: queue.Class, Tasks: max(body.Tasks, 1), Needs: body.Needs,
		Runtime: time.Duration(body.Runtime), Deadline: body.Deadline, Once: body.Once,
		Attempts: queue.Attempts, SameRack: body.Rack, Command: body.Command, Accepted: r.now(),
	}
	if job.Attempts == 0 {
		job.Attempts = defaultAttempts
	}
	if body.Attempts > 0 {
		job.Attempts = min(job.Attempts, body.Attempts)
	}
	if job.Deadline.IsZero() && queue.Within > 0 {
		job.Deadline = job.Accepted.Add(queue.Within)
	}

	return job
}

// checkSameWork refuses a request key that was used for a different job;
// otherwise the caller would be told that its own job was accepted.
func checkSameWork(known, job modeler.Job) error {
	if known.Queue == job.Queue && known.Tasks == job.Tasks && known.Needs == job.Needs &&
		known.Once == job.Once && slices.Equal(known.Command, job.Command) {
		return nil
	}

	return modeler.NotRun(modeler.CodeConflict, 0, "request key %q was used for another job, %s", job.Request, known.ID)
}

// checkLimit refuses a job that can never run within the team's upper limit: a
// single task exceeds it or, for a gang, all tasks together.
func checkLimit(doc modeler.Document, job modeler.Job) error {
	needs := job.Needs
	if job.Kind == modeler.WorkGang {
		needs = needs.Scale(int64(job.Tasks))
	}
	for _, team := range doc.Teams {
		if team.Name == job.Team && !needs.Fits(team.Limit) {
			return modeler.NotRun(modeler.CodeOverLimit, 0,
				"%s at once is above the upper limit of team %s, %s", needs, team.Name, team.Limit)
		}
	}

	return nil
}

// cancel serves DELETE /v1/jobs/{id}.
func (r *Router) cancel(w http.ResponseWriter, req *http.Request) {
	team, err := r.authenticator.Team(req.Header.Get("Authorization"))
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	// Cancellations come in bursts and must not be shed before the work that they
	// end, so they are admitted in the most urgent class.
	permit, err := r.admitter.Admit(admitter.Request{Team: team, Class: modeler.ClassUrgent, Timeout: submitTimeout})
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), submitTimeout)
	defer cancel()
	err = r.dispatcher.Cancel(ctx, team, modeler.JobID(chi.URLParam(req, "id")))
	permit.Done(asRefusal(err))
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// call serves POST /v1/services/{service}/calls. It passes the body to the
// executor and the executor's answer to the caller, both unchanged.
func (r *Router) call(w http.ResponseWriter, req *http.Request) {
	msg, err := r.readCall(w, req)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	w.Header().Set(HeaderKey, string(msg.Request))
	// The timeout of a service may exceed the write timeout of the server.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(msg.Timeout + writeMargin)); err != nil {
		r.logger.Trace("failed to set the write deadline", "error", err)
	}
	started := r.now()
	reply, err := r.execute(req.Context(), msg)
	r.countOutcome(msg, r.now().Sub(started), err)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	w.Header().Set("Content-Type", mediaTypeBinary)
	w.Header().Set(HeaderEndpoint, string(reply.Endpoint))
	if reply.Duplicate {
		w.Header().Set(HeaderDuplicate, "true")
	}
	if _, err := w.Write(reply.Answer); err != nil {
		r.logger.Debug("failed to write the response", "error", err)
	}
}

// execute admits and dispatches a call.
func (r *Router) execute(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	permit, err := r.admitter.Admit(admitter.Request{Service: msg.Service, Team: msg.Team, Class: msg.Class, Timeout: msg.Timeout})
	if err != nil {
		return modeler.CallReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, msg.Timeout)
	defer cancel()
	reply, err := r.dispatcher.Call(ctx, msg)
	permit.Done(asRefusal(err))

	return reply, err
}

// countOutcome counts the outcome of an idempotent call for the burn report.
// Non-idempotent calls leave records, from which the report counts them.
func (r *Router) countOutcome(msg modeler.CallMsg, took time.Duration, err error) {
	if !msg.Idempotent {
		return
	}
	if _, queue, unknown := r.queue(msg.Queue); unknown == nil {
		r.tally.Call(msg.Team, queue, took, err)
	}
}

// readCall reads and validates a call and sets the fields that its service
// determines.
func (r *Router) readCall(w http.ResponseWriter, req *http.Request) (modeler.CallMsg, error) {
	doc, _, ok := r.config.InForce()
	if !ok {
		return modeler.CallMsg{}, noConfiguration()
	}
	name := chi.URLParam(req, "service")
	index := slices.IndexFunc(doc.Services, func(s modeler.Service) bool { return s.Name == name })
	if index < 0 {
		return modeler.CallMsg{}, modeler.NotRun(modeler.CodeNotFound, 0, "no service %q", name)
	}
	service := doc.Services[index]
	_, queue, err := r.queue(service.Queue)
	if err != nil {
		return modeler.CallMsg{}, err
	}
	team, err := r.chargedTeam(req, queue)
	if err != nil {
		return modeler.CallMsg{}, err
	}
	key, err := requestKey(req, !service.Idempotent)
	if err != nil {
		return modeler.CallMsg{}, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, bodyLimit))
	if err != nil {
		return modeler.CallMsg{}, bodyError(err)
	}
	timeout := service.Timeout
	if timeout <= 0 {
		timeout = callTimeout
	}

	return modeler.CallMsg{
		Team: team, Queue: queue.Name, Service: name, Class: queue.Class, Request: modeler.RequestID(key),
		Idempotent: service.Idempotent, Body: body, Timeout: timeout,
	}, nil
}

// publish serves PUT /v1/config.
func (r *Router) publish(w http.ResponseWriter, req *http.Request) {
	var body ConfigRequest
	if err := decode(w, req, &body); err != nil {
		r.writeProblem(w, err)

		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), submitTimeout)
	defer cancel()
	operator, err := r.publishingOperator(req, body.Parent)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	offset, err := r.publisher.PublishAs(ctx, operator, body.Parent, body.Document)
	if err != nil {
		r.writeProblem(w, err)

		return
	}
	r.writeJSON(w, http.StatusOK, ConfigReply{Offset: offset})
}
