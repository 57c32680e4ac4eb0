package leader

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// zoneStore is a store of which only the operators' table can be read, in pages of one
// record. Reads fail while it is cut, and the table grows after the first page.
type zoneStore struct {
	definer.Store
	mu      sync.Mutex
	cut     bool
	records []definer.Record
}

func (s *zoneStore) Newest(_ context.Context, _ definer.Table, after string) (definer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return definer.Page{}, errors.New("cut")
	}
	if after != "" {
		s.records = append(s.records, definer.Record{Key: "a", Value: []byte("1")})
	}
	page := definer.Page{End: int64(len(s.records))}
	for _, record := range s.records {
		if record.Key > after && len(page.Records) == 0 {
			page.Records = append(page.Records, record)
		} else if record.Key > after {
			page.More = true
		}
	}

	return page, nil
}

func (s *zoneStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// zoneDecoder takes each key that begins with "zone/" for an evacuation.
type zoneDecoder struct{ definer.Decoder }

func (zoneDecoder) Evacuation(record definer.Record) (string, bool) {
	zone, _ := strings.CutPrefix(record.Key, "zone/")

	return zone, strings.HasPrefix(record.Key, "zone/") && len(record.Value) > 0
}

// zonedOwner returns an owner in a deployment with evacuations.
func zonedOwner(store definer.Store, evacuation time.Duration) *Leader {
	settings := Settings{Planner: planner.Settings{Lease: 3 * time.Second, Freshness: time.Second}, Term: 2, End: 2, Evacuation: evacuation}
	l := New(settings, store, nil, &recordingClient{}, zoneDecoder{}, &definer.Configuration{}, hclog.NewNullLogger(), recorder.NewMetrics())
	journaler.NewState().Restore(l.planner, definer.Now(), time.Now())

	return l
}

// evacuated returns the zones that the planner knows to be evacuated.
func (l *Leader) evacuated() []string {
	statuses := l.planner.EvacuatedZones()
	zones := make([]string, 0, len(statuses))
	for _, status := range statuses {
		zones = append(zones, status.Zone)
	}

	return zones
}

// awaitZones applies messages until the owner may begin rounds, and reports whether it may.
func (l *Leader) awaitZones(ctx context.Context, timeout time.Duration) bool {
	for until := definer.Now().Add(timeout); definer.Now() < until; time.Sleep(time.Millisecond) {
		l.applyMessages(ctx)
		if l.evacuationsCurrent(ctx, definer.Now()) {
			return true
		}
	}

	return false
}

// TestOwnerReadsZonesBeforeItsFirstRound guards against an owner that starts tasks in an evacuated
// zone because its instance has not read the record yet, and against one that goes back to what
// its instance read earlier.
func TestOwnerReadsZonesBeforeItsFirstRound(t *testing.T) {
	ctx := t.Context()
	store := &zoneStore{cut: true, records: []definer.Record{{Key: "config", Value: []byte("1")}, {Key: "zone/a", Value: []byte("1")}, {Key: "zone/b", Value: []byte("1")}}}
	l := zonedOwner(store, 5*time.Second)
	l.Evacuate(definer.Evacuations{Offset: 1})
	l.readZones(ctx)
	l.handoverRequested = true // The store takes no appends.
	if l.planAndExecute(ctx, definer.Now()); l.awaitZones(ctx, 300*time.Millisecond) || l.nextPlan != 0 {
		t.Fatal("the owner begins rounds although it has not read the evacuated zones")
	}
	store.setCut(false)
	if !l.awaitZones(ctx, 2*time.Second) {
		t.Fatal("the owner begins no rounds although it has read the evacuated zones")
	}
	if l.planAndExecute(ctx, definer.Now()); l.nextPlan == 0 {
		t.Fatal("no round after the evacuated zones were read")
	}
	if l.zones.offset != 3 {
		t.Errorf("the set is as of offset %d, want 3, the end of the table when the first page was read", l.zones.offset)
	}
	l.Evacuate(definer.Evacuations{Offset: 2, Zones: []string{"a"}})
	l.applyMessages(ctx)
	if diff := cmp.Diff([]string{"a", "b"}, l.evacuated()); diff != "" {
		t.Errorf("zones after an older set (-want +got):\n%s", diff)
	}
	l.Evacuate(definer.Evacuations{Offset: 4, Zones: []string{"b"}})
	l.applyMessages(ctx)
	if diff := cmp.Diff([]string{"b"}, l.evacuated()); diff != "" {
		t.Errorf("zones after a newer set (-want +got):\n%s", diff)
	}
	if l := zonedOwner(nil, 0); !l.evacuationsCurrent(ctx, definer.Now()) {
		t.Error("an owner waits for zones in a deployment without evacuations")
	}
}

// TestSuspendedOwnerReadsZonesAgain guards against an owner that was suspended during an evacuation
// and starts tasks by what it knew before, and against one that begins no rounds while it is cut
// from the store.
func TestSuspendedOwnerReadsZonesAgain(t *testing.T) {
	ctx := t.Context()
	store := &zoneStore{}
	l := zonedOwner(store, 5*time.Second)
	l.readZones(ctx)
	if !l.awaitZones(ctx, 2*time.Second) {
		t.Fatal("the owner begins no rounds")
	}
	store.mu.Lock()
	store.cut, store.records = true, []definer.Record{{Key: "zone/a", Value: []byte("1")}}
	store.mu.Unlock()
	now := definer.Now()
	l.planner.CheckSuspension(now.Add(-2 * time.Second))
	l.planner.CheckSuspension(now)
	if l.evacuationsCurrent(ctx, now) {
		t.Fatal("the owner begins a round after a suspension before it has read the zones again")
	}
	if !l.evacuationsCurrent(ctx, now.Add(maxZonesWait)) {
		t.Error("an owner without the store does not go on with the zones that it knows")
	}
	store.setCut(false)
	if !l.awaitZones(ctx, maxZonesWait/2) {
		t.Fatal("the owner begins no rounds although it has read the zones again")
	}
	if diff := cmp.Diff([]string{"a"}, l.evacuated()); diff != "" {
		t.Errorf("zones after the suspension (-want +got):\n%s", diff)
	}
}
