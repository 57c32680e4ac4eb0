package commander

import (
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Exit codes of all commands.
const (
	codeOK = 0
	// codeRefused means that nothing ran or was changed.
	codeRefused = 1
	// codeNegative means that the answer to a query is no: documents differ, or
	// an offset is not in force everywhere.
	codeNegative = 1
	// codeUsage means that the command line, a setting or a file is wrong.
	codeUsage = 2
	// codeUnknown means that the outcome of work or of a change is unknown, or
	// that it was not final in time.
	codeUnknown = 3
	// codeFailed means that the work ran and failed, or that records do not
	// verify.
	codeFailed = 4
	// codeUnreachable means that no instance answered; nothing was changed.
	codeUnreachable = 5
	// codeConflict means that another document was published first.
	codeConflict = 6
)

// exitCodes is the table of exit codes in the help.
const exitCodes = `Exit codes:
  0  success
  1  refused or not run, or the answer of a query is no (documents differ,
     an offset is not in force everywhere)
  2  wrong usage, settings or faulty files
  3  unknown outcome, or not final or in force everywhere in time
  4  the work ran and failed, or records do not verify
  5  no instance could be reached; nothing was changed
  6  conflict with another publication; nothing was published`

// inputError is an error in the command line or in a file.
type inputError struct{ error }

// Unwrap returns the marked error.
func (e inputError) Unwrap() error { return e.error }

// asInputError marks an error as an inputError. It returns nil for nil.
func asInputError(err error) error {
	if err == nil {
		return nil
	}

	return inputError{err}
}

// codeOf returns the exit code for an error.
func codeOf(err error) int {
	var refused *modeler.Refusal
	var input inputError
	switch {
	case err == nil:
		return codeOK
	case errors.As(err, &input):
		return codeUsage
	case errors.Is(err, errUnreachable):
		return codeUnreachable
	case !errors.As(err, &refused):
		return codeUnknown
	}
	switch refused.Outcome {
	case modeler.OutcomeNotRun:
		return codeRefused
	case modeler.OutcomeRan:
		return codeFailed
	case modeler.OutcomeUnknown:
	}

	return codeUnknown
}

// codeOfPublication returns the exit code for an error of a publication. It
// differs from codeOf because for jobs the refusal code conflict means that a
// request key was used twice.
func codeOfPublication(err error) int {
	if isCode(err, modeler.CodeConflict) {
		return codeConflict
	}

	return codeOf(err)
}
