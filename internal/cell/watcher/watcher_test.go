package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

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
		if loaded++; loaded == 3 {
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
