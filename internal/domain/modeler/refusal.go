package modeler

import (
	"fmt"
	"time"
)

// Code is the cause of a refusal.
type Code string

// The causes of a refusal.
const (
	CodeBadRequest   Code = "bad-request"
	CodeBadKey       Code = "bad-key"
	CodeUnknownKey   Code = "unknown-key"
	CodeWithdrawnKey Code = "withdrawn-key"
	CodeWrongTeam    Code = "wrong-team"
	CodeUnknownQueue Code = "unknown-queue"
	CodeNotFound     Code = "not-found"
	CodeTooLarge     Code = "too-large"
	CodeNeverFits    Code = "never-fits"
	CodeOverLimit    Code = "over-limit"
	CodeQueueFull    Code = "queue-full"
	CodeOverload     Code = "overload"
	CodeBodyTooLarge Code = "body-too-large"
	CodeStaleConfig  Code = "stale-config"
	CodeConflict     Code = "conflict"
	CodeNotOwner     Code = "not-owner"
	CodeNoOwner      Code = "no-owner"
	CodeLogDown      Code = "log-down"
	CodeNoExecutor   Code = "no-executor"
	CodeDraining     Code = "draining"
	CodeTimeout      Code = "timeout"
	CodeLostAnswer   Code = "lost-answer"
	CodeBadConfig    Code = "bad-config"
	CodeInternal     Code = "internal"
)

// Refusal is the error returned to a caller. Its outcome is reliable: it is
// OutcomeNotRun only if the work did not run and will not run.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Detail  string  `json:"detail"`
	// Retry is the time after which to retry; zero means that a retry is useless.
	Retry time.Duration `json:"retry,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail) }

// NotRun returns a refusal of work that did not run and will not run.
func NotRun(code Code, retry time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Code: code, Detail: fmt.Sprintf(format, args...), Retry: retry}
}

// Unknown returns a refusal of work that may have run.
func Unknown(code Code, retry time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Code: code, Detail: fmt.Sprintf(format, args...), Retry: retry}
}
