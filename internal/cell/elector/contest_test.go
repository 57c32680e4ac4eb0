package elector

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// tableStore holds one state table.
type tableStore struct {
	definer.Store
	records []definer.Record
	appends int
}

func (s *tableStore) Newest(context.Context, definer.Table, string) (definer.Page, error) {
	return definer.Page{End: int64(len(s.records))}, nil
}

func (s *tableStore) Read(_ context.Context, _ definer.Table, from int64, _ int, _ time.Duration) (definer.Tail, error) {
	end := int64(len(s.records))

	return definer.Tail{Records: s.records[from:], Next: end, End: end}, nil
}

func (s *tableStore) Append(context.Context, definer.Table, int64, []definer.Record) (definer.AppendReply, error) {
	s.appends++

	return definer.AppendReply{}, nil
}

// TestClaimIsNotSuperseded guards against instances that learn together that
// the owner has ended and then take the cell from one another: each takeover
// stops the placement of work until the endpoints have answered.
func TestClaimIsNotSuperseded(t *testing.T) {
	claim := journaler.Claim{Name: "b", Address: "10.0.0.2:7420"}
	store := &tableStore{records: []definer.Record{journaler.EncodeClaim(journaler.Claim{Name: "a", Address: "10.0.0.1:7420"}), journaler.EncodeClaim(claim)}}
	known := Ownership{Term: 1, Address: netip.MustParseAddrPort("10.0.0.1:7420"), Name: "a"}
	none := func() time.Duration { return 0 }
	e := New(Settings{Name: "c", Address: netip.MustParseAddrPort("10.0.0.3:7420")}, store, nil, nil, nil, none, none, hclog.NewNullLogger(), recorder.NewMetrics())
	e.Configure(&definer.Configuration{})
	e.learn(known, "test")
	e.contest(context.Background(), "owner has ended", true)
	if store.appends != 0 {
		t.Errorf("the cell of %s was claimed", claim.Name)
	}
	if owner, _ := e.Owner(); owner.Term != 2 || owner.Name != claim.Name {
		t.Errorf("owner %+v, want the one of the last claim", owner)
	}
}
