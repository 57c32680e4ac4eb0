package leader

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// pageStore is a store whose state table is read in pages of pageSize records. Every
// third call fails.
type pageStore struct {
	definer.Store
	mu      sync.Mutex
	calls   int
	records []definer.Record
	end     int64
}

const pageSize = 7

func (s *pageStore) Newest(_ context.Context, _ definer.Table, after string) (definer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls++; s.calls%3 == 0 {
		return definer.Page{}, errors.New("no answer")
	}
	first := sort.Search(len(s.records), func(i int) bool { return s.records[i].Key > after })
	last := min(first+pageSize, len(s.records))

	return definer.Page{Records: s.records[first:last], More: last < len(s.records), End: s.end}, nil
}

// TestStateIsLoadedInParts guards against records that are left out between the parts
// of the state table that are loaded at the same time, and against an owner that uses
// a state to which another has appended.
func TestStateIsLoadedInParts(t *testing.T) {
	store := &pageStore{end: 5, records: []definer.Record{journaler.EncodeClaim(journaler.Claim{Name: "x"})}}
	want := map[string]bool{}
	for n := range 64 {
		id := fmt.Sprintf("%016x", uint64(n)<<58+uint64(n))
		want[id] = true
		store.records = append(store.records, journaler.EncodeJob(&definer.Job{ID: id}))
		store.records = append(store.records, journaler.EncodeProgress(planner.Snapshot{ID: id})...)
		store.records = append(store.records, journaler.EncodeEndpoint(&definer.Listing{ID: id}))
	}
	sort.Slice(store.records, func(a, b int) bool { return store.records[a].Key < store.records[b].Key })
	l := New(Settings{End: 5}, store, nil, nil, nil, &definer.Configuration{}, hclog.NewNullLogger(), recorder.NewMetrics())
	state, err := l.load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for id := range want {
		if state.Jobs[id] == nil || state.Progress[id] == nil || state.Endpoints[id] == nil {
			t.Errorf("job, progress or endpoint %s is missing", id)
		}
	}
	if state.Claim == nil || len(state.Jobs) != len(want) {
		t.Errorf("%d jobs, want %d; claim %v", len(state.Jobs), len(want), state.Claim)
	}
	store.end++
	if _, err := l.load(context.Background()); !errors.Is(err, ErrSuperseded) {
		t.Errorf("table with a later record: error %v, want %v", err, ErrSuperseded)
	}
}
