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
	// maxRequestKeyLength bounds an Idempotency-Key in bytes.
	maxRequestKeyLength = 128
	// maxTasks bounds the tasks of a job, because a job is held by one partition
	// and stored in one record of its stream.
	maxTasks = 10_000
)

// Headers that identify a request, the executor that ran it, and the operator
// who publishes a configuration.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderOperator  = "Greengagewall-Operator"
	HeaderEndpoint  = "Greengagewall-Endpoint"
	HeaderDuplicate = "Greengagewall-Duplicate"
)

// Duration is a time.Duration that is encoded as a string such as "90s".
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
	// Job names a job that the configuration declares. If it is set, Deadline is
	// the only other field that may be set.
	Job   string          `json:"job,omitempty"`
	Queue modeler.QueueID `json:"queue,omitempty"`
	// Tasks is the number of identical tasks; zero means 1.
	Tasks   int               `json:"tasks,omitempty"`
	Needs   modeler.Resources `json:"needs"`
	Runtime Duration          `json:"runtime,omitempty"`
	// Deadline is when the job must be finished; the default is that of the queue.
	Deadline time.Time `json:"deadline,omitzero"`
	Once     bool      `json:"once,omitempty"`
	// Rack requires that all tasks are placed in one rack.
	Rack bool `json:"rack,omitempty"`
	// Attempts lowers the queue's limit on starts of a task; a higher value has no
	// effect.
	Attempts int      `json:"attempts,omitempty"`
	Command  []string `json:"command,omitempty"`
}

// ConfigRequest is the body of PUT /v1/config.
type ConfigRequest struct {
	// Parent is the offset of the document that Document is based on; it is -1 for
	// the first document.
	Parent   modeler.Offset   `json:"parent"`
	Document modeler.Document `json:"document"`
}

// ConfigReply is the response to PUT and GET /v1/config.
type ConfigReply struct {
	Offset modeler.Offset `json:"offset"`
	// Document is absent in the response to PUT.
	Document *modeler.Document `json:"document,omitempty"`
	// Operator and Time say who published the document and when; they are absent
	// if this instance got it from a peer.
	Operator string    `json:"operator,omitempty"`
	Time     time.Time `json:"time,omitzero"`
}

// decode decodes a JSON body into value. It refuses unknown fields and trailing
// data.
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

// bodyError returns the refusal for a body that could not be read or decoded.
func bodyError(err error) error {
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return modeler.NotRun(modeler.CodeBodyTooLarge, 0, "the body is larger than %d bytes", tooLarge.Limit)
	}

	return modeler.NotRun(modeler.CodeBadRequest, 0, "body: %v", err)
}

// requestKey returns the Idempotency-Key of a request. A missing key is generated
// unless it is required.
func requestKey(req *http.Request, required bool) (string, error) {
	key := strings.Trim(req.Header.Get(HeaderKey), `"`)
	if key == "" {
		if required {
			return "", modeler.NotRun(modeler.CodeBadRequest, 0, "header %s is required for a non-idempotent call", HeaderKey)
		}

		return uuid.NewString(), nil
	}
	if len(key) > maxRequestKeyLength || strings.ContainsFunc(key, needsQuoting) {
		return "", modeler.NotRun(modeler.CodeBadRequest, 0,
			"header %s has up to %d letters, digits or any of \".-_~:\"", HeaderKey, maxRequestKeyLength)
	}

	return key, nil
}

// needsQuoting reports whether r would need quoting in a URL path.
func needsQuoting(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'

	return !letter && !strings.ContainsRune(".-_~:", r)
}

// validate refuses values that no configuration allows.
func (j *JobRequest) validate(now time.Time) error {
	needs := j.Needs
	switch {
	case j.Queue == "":
		return badRequest("queue is missing; give it or the name of a declared job")
	case j.Tasks < 0:
		return badRequest("tasks is " + strconv.Itoa(j.Tasks) + "; it must be at least 1")
	case j.Tasks > maxTasks:
		return modeler.NotRun(modeler.CodeTooLarge, 0, "a job has up to %d tasks, not %d", maxTasks, j.Tasks)
	case needs.Millis < 0 || needs.Memory < 0 || needs.Accelerators < 0:
		return badRequest("needs must not be negative")
	case needs.Slots != 0:
		return badRequest("needs.slots is for services only")
	case needs.Zero():
		return badRequest("needs is missing")
	case needs.Millis > maxNeeds || needs.Memory > maxNeeds || needs.Accelerators > maxNeeds:
		return modeler.NotRun(modeler.CodeNeverFits, 0, "no endpoint is as large as a task of %s", needs)
	case j.Runtime < 0:
		return badRequest("runtime must not be negative")
	case j.Attempts < 0:
		return badRequest("attempts must not be negative")
	case !j.Deadline.IsZero() && !j.Deadline.After(now):
		return badRequest("deadline " + j.Deadline.Format(time.RFC3339) + " has passed")
	}

	return nil
}

// maxNeeds bounds each resource of a task, so that its product with maxTasks fits
// into 64 bits.
const maxNeeds = 1 << 49

func badRequest(detail string) error { return modeler.NotRun(modeler.CodeBadRequest, 0, "%s", detail) }
