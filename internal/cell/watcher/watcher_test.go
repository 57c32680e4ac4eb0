package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// truncatingStore reports truncation at the first read. After that, a key is missing
// and another has a new value.
type truncatingStore struct {
	definer.Store
	loads int
}

func (s *truncatingStore) Newest(context.Context, definer.Table, string) (definer.Page, error) {
	s.loads++
	if s.loads == 1 {
		return definer.Page{Records: []definer.Record{{Key: "gone", Value: []byte("1")}, {Key: "kept", Value: []byte("1")}}, End: 2}, nil
	}

	return definer.Page{Records: []definer.Record{{Key: "kept", Value: []byte("2")}}, End: 9}, nil
}

func (s *truncatingStore) Read(ctx context.Context, _ definer.Table, from int64, _ int, _ time.Duration) (definer.Tail, error) {
	if s.loads == 1 {
		return definer.Tail{Truncated: true}, nil
	}
	<-ctx.Done()

	return definer.Tail{Next: from, End: from}, ctx.Err()
}

// TestReloadAfterTruncation guards against a key that remains although the record
// that removed it was truncated before it was read.
func TestReloadAfterTruncation(t *testing.T) {
	got := map[string]string{}
	ctx, cancel := context.WithCancel(context.Background())
	loaded := 0
	w := New(Settings{Table: definer.TableEndpoints}, &truncatingStore{}, hclog.NewNullLogger(), func(record definer.Record) {
		if len(record.Value) == 0 {
			delete(got, record.Key)

			return
		}
		got[record.Key] = string(record.Value)
	}, func() {
		if loaded++; loaded == 2 {
			cancel()
		}
	})
	w.Run(ctx)
	if diff := cmp.Diff(map[string]string{"kept": "2"}, got); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
	if w.AsOf() == 0 {
		t.Error("AsOf is 0 after a load")
	}
}

// behindStore answers its reads with the given tails and fails all loads but the first.
type behindStore struct {
	definer.Store
	loaded bool
	tails  []definer.Tail
	cancel context.CancelFunc
}

func (s *behindStore) Newest(context.Context, definer.Table, string) (definer.Page, error) {
	if s.loaded {
		s.cancel()

		return definer.Page{}, errors.New("no answer")
	}
	s.loaded = true

	return definer.Page{End: 1}, nil
}

func (s *behindStore) Read(context.Context, definer.Table, int64, int, time.Duration) (definer.Tail, error) {
	time.Sleep(10 * time.Millisecond)
	if len(s.tails) == 0 {
		s.cancel()

		return definer.Tail{}, errors.New("no answer")
	}
	tail := s.tails[0]
	s.tails = s.tails[1:]

	return tail, nil
}

// TestReadBehindTheTableIsNotUpToDate guards against a withdrawn key that works
// at an instance whose reads are answered without the newest records (seen as
// CONFIG on ppso-brine-grown, scale-2).
func TestReadBehindTheTableIsNotUpToDate(t *testing.T) {
	for name, tail := range map[string]definer.Tail{
		"truncated": {Truncated: true},
		"partial":   {Records: []definer.Record{{Key: "k", Value: []byte("1")}}, Next: 2, End: 9},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		store := &behindStore{tails: []definer.Tail{{Next: 1, End: 1}, tail}, cancel: cancel}
		w := New(Settings{Table: definer.TableOperator}, store, hclog.NewNullLogger(), func(definer.Record) {}, nil)
		began := definer.Now()
		w.Run(ctx)
		if age := w.AsOf().Sub(began); age >= 10*time.Millisecond {
			t.Errorf("%s: the table counts as up to date as of a read %s later that did not reach its end", name, age)
		}
	}
}

// failingStore has a table of two pages. The first request of the second page fails.
type failingStore struct {
	definer.Store
	requests []string
}

func (s *failingStore) Newest(_ context.Context, _ definer.Table, after string) (definer.Page, error) {
	s.requests = append(s.requests, after)
	switch {
	case after == "":
		return definer.Page{Records: []definer.Record{{Key: "a", Value: []byte("1")}}, More: true, End: 5}, nil
	case len(s.requests) == 2:
		time.Sleep(10 * time.Millisecond)

		return definer.Page{}, errors.New("connection reset")
	default:
		return definer.Page{Records: []definer.Record{{Key: "b", Value: []byte("2")}}, End: 6}, nil
	}
}

func (s *failingStore) Read(ctx context.Context, _ definer.Table, from int64, _ int, _ time.Duration) (definer.Tail, error) {
	<-ctx.Done()

	return definer.Tail{Next: from, End: from}, ctx.Err()
}

// TestLoadContinuesAfterFailure guards against a load that begins anew after each
// failed call, which a table larger than a slow link carries without a failure never
// survives (seen after all instances lost power), and against a table that counts as
// up to date as of a time later than its first page.
func TestLoadContinuesAfterFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := &failingStore{}
	w := New(Settings{Table: definer.TableOperator}, store, hclog.NewNullLogger(), func(definer.Record) {}, cancel)
	began := definer.Now()
	w.Run(ctx)
	if diff := cmp.Diff([]string{"", "a", "a"}, store.requests); diff != "" {
		t.Errorf("requested pages (-want +got):\n%s", diff)
	}
	if age := w.AsOf().Sub(began); age >= 10*time.Millisecond {
		t.Errorf("the table counts as up to date as of %s after the first page", age)
	}
}

// repeatingStore returns the same page for ever, as it does for a last key that is not
// valid text and is changed on the way.
type repeatingStore struct {
	failingStore
}

func (s *repeatingStore) Newest(_ context.Context, _ definer.Table, after string) (definer.Page, error) {
	s.requests = append(s.requests, after)

	return definer.Page{Records: []definer.Record{{Key: "malformed", Value: []byte("1")}}, More: true, End: 5}, nil
}

// TestMalformedKeyEndsTheLoad guards against a key of another writer that makes a load read
// the same page for ever, so that the table is never followed.
func TestMalformedKeyEndsTheLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := &repeatingStore{}
	w := New(Settings{Table: definer.TableEndpoints}, store, hclog.NewNullLogger(), func(definer.Record) {
		if len(store.requests) > 3 {
			cancel()
			t.Error("the same page was read again and again")
		}
	}, cancel)
	w.Run(ctx)
}
