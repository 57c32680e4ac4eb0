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

// tableStore is a store with a single table.
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

// TestClaimIsNotSuperseded guards against a second takeover by an instance that
// learns late of a new owner's claim. It happens when several instances learn of
// the owner's end at the same time; each takeover pauses placement until the
// endpoints have answered.
func TestClaimIsNotSuperseded(t *testing.T) {
	claim := journaler.Claim{Name: "b", Address: "10.0.0.2:7420"}
	store := &tableStore{records: []definer.Record{journaler.EncodeClaim(journaler.Claim{Name: "a", Address: "10.0.0.1:7420"}), journaler.EncodeClaim(claim)}}
	known := Ownership{Term: 1, Address: netip.MustParseAddrPort("10.0.0.1:7420"), Name: "a"}
	none := func() time.Duration { return 0 }
	e := New(Settings{Name: "c", Address: netip.MustParseAddrPort("10.0.0.3:7420")}, store, nil, nil, nil, none, none, hclog.NewNullLogger(), recorder.NewMetrics())
	e.Configure(&definer.Configuration{})
	e.learn(known, "test")
	e.campaign(context.Background(), "owner has ended", true)
	if store.appends != 0 {
		t.Errorf("the cell owned by %s was claimed again", claim.Name)
	}
	if owner, _ := e.Owner(); owner.Term != 2 || owner.Name != claim.Name {
		t.Errorf("owner %+v, want the instance with the last claim", owner)
	}
}
