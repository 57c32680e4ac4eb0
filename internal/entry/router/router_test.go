package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/admitter"
	"gitlab.com/greengagewall/greengagewall/internal/entry/authenticator"
	"gitlab.com/greengagewall/greengagewall/internal/entry/dispatcher"
)

// fakeCell implements every interface that the router and the dispatcher need. It
// is the owner of all partitions.
type fakeCell struct {
	modeler.Commands
	doc       modeler.Document
	loads     []modeler.Load
	submitted []modeler.Job
	called    []modeler.CallMsg
	status    modeler.JobStatus
	known     bool
	stale     bool
	served    *Router
	// offset is the configuration offset in force; publisher is the operator of
	// the last publication.
	offset    modeler.Offset
	publisher string
	// failure is the error that calls return.
	failure error
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))

	return hex.EncodeToString(sum[:])
}

func newFakeCell() *fakeCell {
	large := modeler.Resources{Millis: 16_000, Memory: 64 << 30}

	return &fakeCell{
		offset: 7,
		doc: modeler.Document{
			Partitions: []modeler.Partition{{Name: "costa-1", Region: "costa"}, {Name: "sierra-1", Region: "sierra"}},
			Teams: []modeler.Team{
				{Name: "apchf", Limit: large.Scale(10), Keys: []modeler.Key{
					{Digest: digest("apchf-secret")}, {Digest: digest("apchf-old-key"), Withdrawn: true},
				}},
				{Name: "visitors", Limit: large},
			},
			Queues: []modeler.Queue{
				{Name: "forecasts", Kind: modeler.WorkBatch, Class: modeler.ClassUrgent, Within: time.Minute},
				{Name: "gangs", Kind: modeler.WorkGang, Class: modeler.ClassStandard},
				{Name: "lookups", Kind: modeler.WorkService, Class: modeler.ClassUrgent, Open: true, Team: "visitors"},
				{Name: "private", Kind: modeler.WorkBatch, Class: modeler.ClassDeferred, Teams: []modeler.TeamID{"other"}},
			},
			Services: []modeler.Service{
				{Name: "quality", Queue: "lookups", Idempotent: true}, {Name: "recall", Queue: "forecasts"},
			},
			Jobs: []modeler.Template{
				{Name: "plume", Team: "apchf", Queue: "forecasts", Tasks: 2, Needs: modeler.Resources{Millis: 500},
					Deadline: modeler.Deadline{Clock: "06:30"}},
				{Name: "recertify", Team: "other", Queue: "forecasts", Tasks: 1, Needs: modeler.Resources{Millis: 500}},
			},
		},
		loads: []modeler.Load{
			{Partition: "costa-1", Term: 256, Ready: true, Largest: large, Capacity: large.Scale(4), Services: map[string]int64{"": 8}},
			{Partition: "sierra-1", Term: 256, Ready: true, Largest: large, Capacity: large.Scale(4), Services: map[string]int64{"": 8}},
		},
	}
}

func (cell *fakeCell) InForce() (modeler.Document, modeler.Offset, bool) {
	return cell.doc, cell.offset, cell.offset >= 0
}
func (cell *fakeCell) ConfigAge(time.Time) (time.Duration, bool)              { return time.Second, !cell.stale }
func (cell *fakeCell) HasMajority(time.Time) bool                             { return false }
func (cell *fakeCell) Peers() []modeler.Peer                                  { return nil }
func (cell *fakeCell) Endpoints() []modeler.Instance                          { return nil }
func (cell *fakeCell) Loads() []modeler.Load                                  { return cell.loads }
func (cell *fakeCell) Ownership() []modeler.Ownership                         { return nil }
func (cell *fakeCell) Records(modeler.TeamID, string) []modeler.Record        { return nil }
func (cell *fakeCell) CommandsOf(modeler.InstanceID) (modeler.Commands, bool) { return cell, true }
func (cell *fakeCell) Export(modeler.TeamID) map[modeler.PartitionID][]modeler.Record {
	return map[modeler.PartitionID][]modeler.Record{}
}

func (cell *fakeCell) Job(team modeler.TeamID, job modeler.JobID) (modeler.JobStatus, bool) {
	return cell.status, cell.known && cell.status.Job.Team == team && cell.status.Job.ID == job
}

func (cell *fakeCell) Submit(_ context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
	cell.submitted = append(cell.submitted, msg.Job)

	return modeler.SubmitReply{Job: msg.Job.ID, Head: "00"}, nil
}

func (cell *fakeCell) Call(_ context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	cell.called = append(cell.called, msg)
	if cell.failure != nil {
		return modeler.CallReply{}, cell.failure
	}

	return modeler.CallReply{Request: msg.Request, Answer: append([]byte("answer to "), msg.Body...), Endpoint: "x1"}, nil
}

func (cell *fakeCell) Origin() (operator string, at time.Time) { return "amy", time.Time{} }

func (cell *fakeCell) PublishAs(_ context.Context, operator string, parent modeler.Offset, _ modeler.Document) (modeler.Offset, error) {
	if parent != 7 {
		return 0, modeler.NotRun(modeler.CodeConflict, 0, "offset 7 is in force, not %d", parent)
	}

	cell.publisher = operator

	return 8, nil
}

func (cell *fakeCell) router() *Router {
	return New(
		WithQueries(cell), WithMembership(cell), WithConfiguration(cell), WithPublisher(cell),
		WithAuthenticator(authenticator.New(cell, cell)), WithAdmitter(admitter.New()),
		WithDispatcher(dispatcher.New(dispatcher.WithOwners(cell), dispatcher.WithMembership(cell),
			dispatcher.WithQueries(cell), dispatcher.WithConfiguration(cell), dispatcher.WithBudget(admitter.NewBudget()))),
		WithClock(func() time.Time { return time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC) }),
	)
}

// send sends a request. The line is "METHOD path"; headers alternate between
// names and values.
func (cell *fakeCell) send(line, body string, headers ...string) *httptest.ResponseRecorder {
	method, path, _ := strings.Cut(line, " ")
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	if cell.served == nil {
		cell.served = cell.router()
	}
	cell.served.ServeHTTP(recorder, req)

	return recorder
}

const (
	goodKey = "Bearer apchf-secret"
	oneTask = `{"queue":"forecasts","needs":{"millis":1000,"memory":1024}}`
)

// TestRouter_Refusals guards against invalid input that is accepted, refused with
// the wrong code, or refused with an outcome other than "not run".
func TestRouter_Refusals(t *testing.T) {
	cases := []struct{ name, line, key, body string }{
		{"malformed key", "POST /v1/jobs", "Basic xyz", oneTask},
		{"missing key", "POST /v1/jobs", "", oneTask},
		{"short key", "POST /v1/jobs", "Bearer abc", oneTask},
		{"unknown key", "POST /v1/jobs", "Bearer nobody-has-this", oneTask},
		{"withdrawn key", "POST /v1/jobs", "Bearer apchf-old-key", oneTask},
		{"withdrawn key on an open queue", "POST /v1/services/quality/calls", "Bearer apchf-old-key", ""},
		{"queue of another team", "POST /v1/jobs", goodKey, `{"queue":"private","needs":{"millis":1}}`},
		{"unknown queue", "POST /v1/jobs", goodKey, `{"queue":"nowhere","needs":{"millis":1}}`},
		{"unknown field", "POST /v1/jobs", goodKey, `{"queue":"forecasts","cpu":1}`},
		{"two values", "POST /v1/jobs", goodKey, oneTask + "{}"},
		{"no needs", "POST /v1/jobs", goodKey, `{"queue":"forecasts"}`},
		{"undeclared job", "POST /v1/jobs", goodKey, `{"job":"none"}`},
		{"declared job of another team", "POST /v1/jobs", goodKey, `{"job":"recertify"}`},
		{"declared job with changes", "POST /v1/jobs", goodKey, `{"job":"plume","tasks":3}`},
		{"past deadline", "POST /v1/jobs", goodKey, `{"queue":"forecasts","needs":{"millis":1},"deadline":"2026-12-31T23:00:00Z"}`},
		{"task larger than any endpoint", "POST /v1/jobs", goodKey, `{"queue":"forecasts","needs":{"millis":16001}}`},
		{"all-at-once job that never fits", "POST /v1/jobs", goodKey, `{"queue":"gangs","tasks":5,"needs":{"millis":16000}}`},
		{"all-at-once job above the limit", "POST /v1/jobs", goodKey, `{"queue":"gangs","tasks":11,"needs":{"millis":16000}}`},
		{"product beyond 64 bits", "POST /v1/jobs", goodKey, `{"queue":"gangs","tasks":9000,"needs":{"memory":9007199254740992}}`},
		{"too many tasks", "POST /v1/jobs", goodKey, `{"queue":"forecasts","tasks":10001,"needs":{"millis":1}}`},
		{"body over the limit", "POST /v1/jobs", goodKey, `{"queue":"` + strings.Repeat("x", bodyLimit) + `"}`},
		{"call body over the limit", "POST /v1/services/quality/calls", goodKey, strings.Repeat("x", bodyLimit+1)},
		{"non-idempotent call without a key", "POST /v1/services/recall/calls", goodKey, "lot 7"},
		{"unknown service", "POST /v1/services/none/calls", goodKey, ""},
		{"unknown job", "GET /v1/jobs/j-1", goodKey, ""},
		{"bad wait", "GET /v1/jobs/j-1?wait=soon", goodKey, ""},
		{"wrong parent", "PUT /v1/config", "", `{"parent":6,"document":{}}`},
		{"wrong method", "PATCH /v1/jobs", goodKey, ""},
		{"unknown path", "GET /v2/jobs", goodKey, ""},
	}
	var out strings.Builder
	for _, c := range cases {
		cell := newFakeCell()
		got := cell.send(c.line, c.body, "Authorization", c.key)
		fmt.Fprintf(&out, "%s: %s", c.name, got.Body)
		if len(cell.submitted)+len(cell.called) > 0 {
			t.Errorf("%s: work was dispatched", c.name)
		}
		if mediaType := got.Header().Get("Content-Type"); mediaType != ProblemType {
			t.Errorf("%s: media type %q", c.name, mediaType)
		}
	}
	goldie.New(t).Assert(t, "refusals", []byte(out.String()))
}

// TestRouter_StaleConfiguration guards against accepting keys that may have been
// withdrawn, and against refusing work on open queues while the configuration is
// stale.
func TestRouter_StaleConfiguration(t *testing.T) {
	cell := newFakeCell()
	cell.stale = true
	if got := cell.send("POST /v1/jobs", oneTask, "Authorization", goodKey); got.Code != http.StatusServiceUnavailable {
		t.Errorf("job with a key: status %d", got.Code)
	}
	if got := cell.send("POST /v1/services/quality/calls", "lima"); got.Code != http.StatusOK || got.Body.String() != "answer to lima" {
		t.Errorf("open call: status %d, body %q", got.Code, got.Body)
	}
	if team := cell.called[0].Team; team != "visitors" {
		t.Errorf("open call is charged to %q", team)
	}
}

// TestRouter_Submit guards against a job without the defaults of its queue, and
// against a new id when a job is submitted again with the same request key.
func TestRouter_Submit(t *testing.T) {
	cell := newFakeCell()
	for range 2 {
		got := cell.send("POST /v1/jobs", oneTask, "Authorization", goodKey, HeaderKey, "run-1")
		if got.Code != http.StatusCreated {
			t.Fatalf("status %d: %s", got.Code, got.Body)
		}
	}
	job := cell.submitted[0]
	if cell.submitted[1].ID != job.ID {
		t.Errorf("ids %s and %s of one request key", job.ID, cell.submitted[1].ID)
	}
	if job.Class != modeler.ClassUrgent || job.Attempts != defaultAttempts || !job.Deadline.Equal(job.Accepted.Add(time.Minute)) {
		t.Errorf("queue defaults are missing: %+v", job)
	}
	cell.known, cell.status = true, modeler.JobStatus{Job: job, Partition: "costa-1", Final: true}
	other := `{"queue":"forecasts","needs":{"millis":2000}}`
	if got := cell.send("POST /v1/jobs", other, "Authorization", goodKey, HeaderKey, "run-1"); got.Code != http.StatusConflict {
		t.Errorf("other job under the same key: status %d", got.Code)
	}
	got := cell.send("GET /v1/jobs/"+string(job.ID)+"?wait=5s", "", "Authorization", goodKey)
	var status modeler.JobStatus
	if err := json.Unmarshal(got.Body.Bytes(), &status); err != nil || !status.Final {
		t.Errorf("status %s, error %v", got.Body, err)
	}
	if got := cell.send("GET /v1/jobs/"+string(job.ID), ""); got.Code != http.StatusNotFound {
		t.Errorf("job of a team was shown without its key: status %d", got.Code)
	}
}

// TestRouter_DeclaredJob guards against a declared job that differs from its
// declaration.
func TestRouter_DeclaredJob(t *testing.T) {
	cell := newFakeCell()
	if got := cell.send("POST /v1/jobs", `{"job":"plume"}`, "Authorization", goodKey); got.Code != http.StatusCreated {
		t.Fatalf("status %d: %s", got.Code, got.Body)
	}
	job := cell.submitted[0]
	if job.Tasks != 2 || job.Needs.Millis != 500 || job.Deadline.Format(time.RFC3339) != "2027-01-01T06:30:00Z" {
		t.Errorf("got %+v", job)
	}
}

// TestRouter_UnknownJobWait guards against a query for an unknown job that waits
// for its full wait parameter, which delayed a shutdown by up to a minute.
func TestRouter_UnknownJobWait(t *testing.T) {
	started := time.Now()
	got := newFakeCell().send("GET /v1/jobs/j-1?wait=20s", "", "Authorization", goodKey)
	if took := time.Since(started); got.Code != http.StatusNotFound || took < unknownJobWait || took > 10*time.Second {
		t.Errorf("status %d after %s", got.Code, took)
	}
}

// TestRouter_Ready guards against readiness of an instance that cannot route
// requests, and against a new partition that makes every instance unready.
func TestRouter_Ready(t *testing.T) {
	cell := newFakeCell()
	loads := cell.loads
	cell.loads = loads[:1]
	if got := cell.send("GET /readyz", ""); got.Code != http.StatusServiceUnavailable {
		t.Errorf("without an owner: status %d", got.Code)
	}
	cell.loads = loads
	cell.served = nil
	if got := cell.send("GET /readyz", ""); got.Code != http.StatusOK {
		t.Errorf("status %d: %s", got.Code, got.Body)
	}
	cell.doc.Partitions = append(cell.doc.Partitions, modeler.Partition{Name: "selva-1", Region: "selva"})
	if got := cell.send("GET /readyz", ""); got.Code != http.StatusOK {
		t.Errorf("after a partition was added: status %d", got.Code)
	}
	for _, path := range []string{"/healthz", "/debug/vars", "/v1/state", "/v1/config", "/v1/config/offsets"} {
		if got := cell.send("GET "+path, ""); got.Code != http.StatusOK {
			t.Errorf("%s: status %d", path, got.Code)
		}
	}
	if got := cell.send("PUT /v1/config", `{"parent":7,"document":{"cell":"humo-andino"}}`); got.Code != http.StatusOK {
		t.Errorf("publish: status %d: %s", got.Code, got.Body)
	}
}
