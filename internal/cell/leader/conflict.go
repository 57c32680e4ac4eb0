package leader

import (
	"slices"

	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// noteStoredAndRemoved notes each endpoint that one append both stores and
// removes. The removal is the later record, so the next owner does not ask the
// endpoint for its runs.
func (l *Leader) noteStoredAndRemoved(stored, removed []string, offset int64) {
	for _, id := range removed {
		if slices.Contains(stored, id) {
			l.recordNote(planner.Note{Event: "endpoint stored and removed", Warn: true, Args: []any{"endpoint", id, "at", offset}})
		}
	}
}
