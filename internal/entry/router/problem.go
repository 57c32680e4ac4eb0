package router

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Problem is the body of a refusal (RFC 9457, application/problem+json). Its
// type is "about:blank"; code names the cause.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Outcome modeler.Outcome `json:"outcome"`
	Code    modeler.Code    `json:"code"`
	// Retry is the advised delay before a retry, such as "1.5s"; it is absent if
	// a retry would be useless.
	Retry string `json:"retry,omitempty"`
}

// ProblemType is the media type of Problem.
const ProblemType = "application/problem+json"

// statusCodes maps refusal codes to HTTP statuses.
var statusCodes = map[modeler.Code]int{
	modeler.CodeBadRequest:   http.StatusBadRequest,
	modeler.CodeBadKey:       http.StatusUnauthorized,
	modeler.CodeUnknownKey:   http.StatusUnauthorized,
	modeler.CodeWithdrawnKey: http.StatusUnauthorized,
	modeler.CodeWrongTeam:    http.StatusForbidden,
	modeler.CodeNotFound:     http.StatusNotFound,
	modeler.CodeUnknownQueue: http.StatusUnprocessableEntity,
	modeler.CodeTooLarge:     http.StatusUnprocessableEntity,
	modeler.CodeNeverFits:    http.StatusUnprocessableEntity,
	modeler.CodeOverLimit:    http.StatusUnprocessableEntity,
	modeler.CodeBadConfig:    http.StatusUnprocessableEntity,
	modeler.CodeQueueFull:    http.StatusTooManyRequests,
	modeler.CodeBodyTooLarge: http.StatusRequestEntityTooLarge,
	modeler.CodeConflict:     http.StatusConflict,
	modeler.CodeOverload:     http.StatusServiceUnavailable,
	modeler.CodeStaleConfig:  http.StatusServiceUnavailable,
	modeler.CodeNotOwner:     http.StatusServiceUnavailable,
	modeler.CodeNoOwner:      http.StatusServiceUnavailable,
	modeler.CodeLogDown:      http.StatusServiceUnavailable,
	modeler.CodeNoExecutor:   http.StatusServiceUnavailable,
	modeler.CodeDraining:     http.StatusServiceUnavailable,
	modeler.CodeTimeout:      http.StatusGatewayTimeout,
	modeler.CodeLostAnswer:   http.StatusBadGateway,
	modeler.CodeInternal:     http.StatusInternalServerError,
}

// asRefusal returns the refusal in err, or nil if err is nil. Any other error
// leaves the outcome unknown.
func asRefusal(err error) *modeler.Refusal {
	if err == nil {
		return nil
	}
	refusal := new(modeler.Refusal)
	if errors.As(err, &refusal) {
		return refusal
	}

	return modeler.Unknown(modeler.CodeInternal, 0, "%v", err)
}

// writeProblem responds with the refusal in err.
func (r *Router) writeProblem(w http.ResponseWriter, err error) {
	refusal := asRefusal(err)
	status, ok := statusCodes[refusal.Code]
	switch {
	case !ok:
		status = http.StatusInternalServerError
	case refusal.Outcome == modeler.OutcomeUnknown && status < http.StatusInternalServerError:
		// A 4xx status would tell clients that the request had no effect.
		status = http.StatusBadGateway
	}
	r.writeProblemStatus(w, status, refusal)
}

func (r *Router) writeProblemStatus(w http.ResponseWriter, status int, refusal *modeler.Refusal) {
	problem := Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: refusal.Detail, Outcome: refusal.Outcome, Code: refusal.Code,
	}
	if refusal.Retry > 0 {
		problem.Retry = refusal.Retry.String()
		seconds := (refusal.Retry + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	r.writeBody(w, status, ProblemType, problem)
}

func (r *Router) writeJSON(w http.ResponseWriter, status int, body any) {
	r.writeBody(w, status, "application/json", body)
}

func (r *Router) writeBody(w http.ResponseWriter, status int, mediaType string, body any) {
	var data bytes.Buffer
	encoder := json.NewEncoder(&data)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		r.logger.Error("failed to encode the response", "error", err)
		http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)

		return
	}
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(status)
	if _, err := w.Write(data.Bytes()); err != nil {
		r.logger.Debug("failed to write the response", "error", err)
	}
}
