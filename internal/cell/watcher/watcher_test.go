package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// droppingStore answers the first read with dropped history, after which a key
// has gone and another has changed.
type droppingStore struct {
	definer.Store
	loads int
}

func (s *droppingStore) Newest(context.Context, definer.Table, string) (definer.Page, error) {
	s.loads++
	if s.loads == 1 {
		return definer.Page{Records: []definer.Record{{Key: "gone", Value: []byte("1")}, {Key: "kept", Value: []byte("1")}}, End: 2}, nil
	}

	return definer.Page{Records: []definer.Record{{Key: "kept", Value: []byte("2")}}, End: 9}, nil
}

func (s *droppingStore) Read(ctx context.Context, _ definer.Table, from int64, _ int, _ time.Duration) (definer.Tail, error) {
	if s.loads == 1 {
		return definer.Tail{Truncated: true}, nil
	}
	<-ctx.Done()

	return definer.Tail{Next: from, End: from}, ctx.Err()
}

// TestDroppedHistory guards against a key that stays after it was removed in
// history that the store has dropped.
func TestDroppedHistory(t *testing.T) {
	got := map[string]string{}
	ctx, cancel := context.WithCancel(context.Background())
	loaded := 0
	w := New(Settings{Table: definer.TableEndpoints}, &droppingStore{}, hclog.NewNullLogger(), func(record definer.Record) {
		if len(record.Value) == 0 {
			delete(got, record.Key)

			return
		}
		got[record.Key] = string(record.Value)
	}, func() {
		if loaded++; loaded == 3 {
			cancel()
		}
	})
	w.Run(ctx)
	if diff := cmp.Diff(map[string]string{"kept": "2"}, got); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
	if w.AsOf() == 0 {
		t.Error("nothing is known to be up to date")
	}
}
