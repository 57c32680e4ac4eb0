package router

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// bodyLimit bounds a request body in bytes.
	bodyLimit = 1 << 20
	// longestKey bounds an Idempotency-Key in bytes.
	longestKey = 128
	// mostTasks bounds the tasks of a job, because a job lives in one
	// partition and one record of its stream.
	mostTasks = 10_000
)

// The names of the headers that identify a request, its executor, and the
// operator who publishes a configuration.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderOperator  = "Greengagewall-Operator"
	HeaderEndpoint  = "Greengagewall-Endpoint"
	HeaderDuplicate = "Greengagewall-Duplicate"
)

// Duration is a time.Duration that is written as a string such as "90s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)

	return errors.Wrap(err, "duration")
}

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	// Job names a job that the configuration declares. Of the other fields
	// only Deadline may then be set.
	Job   string          `json:"job,omitempty"`
	Queue modeler.QueueID `json:"queue,omitempty"`
	// Tasks is the number of equal tasks; zero means 1.
	Tasks   int               `json:"tasks,omitempty"`
	Needs   modeler.Resources `json:"needs"`
	Runtime Duration          `json:"runtime,omitempty"`
	// Deadline is when the job must be finished; absent, the queue decides.
	Deadline time.Time `json:"deadline,omitzero"`
	Once     bool      `json:"once,omitempty"`
	// Rack asks for all tasks in one rack.
	Rack bool `json:"rack,omitempty"`
	// Attempts may lower the queue's bound on starts of a task.
	Attempts int      `json:"attempts,omitempty"`
	Command  []string `json:"command,omitempty"`
}

// ConfigRequest is the body of PUT /v1/config.
type ConfigRequest struct {
	// Parent is the offset of the document that Document was made from; -1
	// for the first one.
	Parent   modeler.Offset   `json:"parent"`
	Document modeler.Document `json:"document"`
}

// ConfigReply answers PUT and GET /v1/config.
type ConfigReply struct {
	Offset modeler.Offset `json:"offset"`
	// Document is absent in the answer to PUT.
	Document *modeler.Document `json:"document,omitempty"`
	// Operator and Time tell who published the document and when; they are
	// absent when this instance got it from a peer.
	Operator string    `json:"operator,omitempty"`
	Time     time.Time `json:"time,omitzero"`
}

// decode reads a JSON body strictly into value.
func decode(w http.ResponseWriter, req *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, bodyLimit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		if err != nil {
			return bodyError(err)
		}

		return modeler.NotRun(modeler.CodeBadRequest, 0, "the body holds more than one JSON value")
	}

	return nil
}

func bodyError(err error) error {
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return modeler.NotRun(modeler.CodeBodyTooLarge, 0, "the body is larger than %d bytes", tooLarge.Limit)
	}

	return modeler.NotRun(modeler.CodeBadRequest, 0, "body: %v", err)
}

// requestKey returns the Idempotency-Key; an absent one is generated unless it
// is required.
func requestKey(req *http.Request, required bool) (string, error) {
	key := strings.Trim(req.Header.Get(HeaderKey), `"`)
	if key == "" {
		if required {
			return "", modeler.NotRun(modeler.CodeBadRequest, 0, "header %s is required for a non-idempotent call", HeaderKey)
		}

		return uuid.NewString(), nil
	}
	if len(key) > longestKey || strings.ContainsFunc(key, notInKey) {
		return "", modeler.NotRun(modeler.CodeBadRequest, 0,
			"header %s has up to %d letters, digits or any of \".-_~:\"", HeaderKey, longestKey)
	}

	return key, nil
}

// notInKey reports whether r would need quoting in a URL path.
func notInKey(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'

	return !letter && !strings.ContainsRune(".-_~:", r)
}

// check refuses values that no configuration allows.
func (j *JobRequest) check(now time.Time) error {
	n := j.Needs
	switch {
	case j.Queue == "":
		return bad("queue is missing; give it or the name of a declared job")
	case j.Tasks < 0:
		return bad("tasks is " + strconv.Itoa(j.Tasks) + "; it must be at least 1")
	case j.Tasks > mostTasks:
		return modeler.NotRun(modeler.CodeTooLarge, 0, "a job has up to %d tasks, not %d", mostTasks, j.Tasks)
	case n.Millis < 0 || n.Memory < 0 || n.Accelerators < 0:
		return bad("needs must not be negative")
	case n.Slots != 0:
		return bad("needs.slots is for services only")
	case n.Zero():
		return bad("needs is missing")
	case n.Millis > mostNeeds || n.Memory > mostNeeds || n.Accelerators > mostNeeds:
		return modeler.NotRun(modeler.CodeNeverFits, 0, "no endpoint is as large as a task of %s", n)
	case j.Runtime < 0:
		return bad("runtime must not be negative")
	case j.Attempts < 0:
		return bad("attempts must not be negative")
	case !j.Deadline.IsZero() && !j.Deadline.After(now):
		return bad("deadline " + j.Deadline.Format(time.RFC3339) + " has passed")
	}

	return nil
}

// mostNeeds keeps the product of needs and mostTasks within 64 bits.
const mostNeeds = 1 << 49

func bad(detail string) error { return modeler.NotRun(modeler.CodeBadRequest, 0, "%s", detail) }
