package elector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

var start = time.Unix(1000, 0)

func instance(id modeler.InstanceID, region string) modeler.Instance {
	return modeler.Instance{ID: id, Region: region, State: modeler.StateLive}
}

func views(now time.Time, owner modeler.InstanceID, instances ...modeler.Instance) []View {
	all := make([]View, 0, len(instances))
	for _, self := range instances {
		view := View{Self: self, Partition: modeler.Partition{Name: "costa-1", Region: "costa"}, Owner: owner, Term: modeler.NewTerm(3, 0)}
		for _, other := range instances {
			if other.ID != self.ID {
				view.Peers = append(view.Peers, modeler.Peer{Instance: other, LastHeartbeat: now})
			}
		}
		all = append(all, view)
	}

	return all
}

// TestShouldClaim_OneAtATime guards against several instances that claim at
// once, against a claim by an instance of another region before those of the
// partition's region, and against a claim before the owner is suspected.
func TestShouldClaim_OneAtATime(t *testing.T) {
	instances := []modeler.Instance{
		instance("a", "sierra"), instance("b", "costa"), instance("c", "costa"), instance("d", "selva"),
	}
	first := map[modeler.InstanceID]time.Duration{}
	electors := make([]Elector, len(instances))
	for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 10 * time.Millisecond {
		for i, view := range views(start.Add(elapsed), "dead", instances...) {
			if _, known := first[view.Self.ID]; electors[i].ShouldClaim(view, start.Add(elapsed)) && !known {
				first[view.Self.ID] = elapsed
			}
		}
	}
	order := make([]time.Duration, 0, len(first))
	for _, at := range first {
		order = append(order, at)
	}
	slices.Sort(order)
	want := []time.Duration{SuspectAfter, SuspectAfter + RankDelay, SuspectAfter + 2*RankDelay, SuspectAfter + 3*RankDelay}
	if !slices.Equal(order, want) {
		t.Errorf("claims come after %v, want %v", order, want)
	}
	if max(first["b"], first["c"]) > min(first["a"], first["d"]) {
		t.Errorf("an instance of another region claims first: %v", first)
	}
}

// TestShouldClaim_RespectsLiveOwners guards against claims while the owner
// sends heartbeats or a successor works under the term of its rank, and against
// waiting for an owner that drains.
func TestShouldClaim_RespectsLiveOwners(t *testing.T) {
	self, peer := instance("a", "costa"), instance("b", "costa")
	load := func(ready bool, term modeler.Term) []modeler.Load {
		return []modeler.Load{{Partition: "costa-1", Ready: ready, Term: term}}
	}
	for name, test := range map[string]struct {
		owner  modeler.InstanceID
		peer   modeler.Peer
		claims bool
	}{
		"live owner":            {"b", modeler.Peer{}, false},
		"draining owner":        {"b", modeler.Peer{Draining: true}, true},
		"no owner":              {"", modeler.Peer{}, true},
		"silent owner":          {"x", modeler.Peer{}, true},
		"owner by rank":         {"x", modeler.Peer{Loads: load(true, modeler.NewTerm(3, 1))}, false},
		"rank without majority": {"x", modeler.Peer{Loads: load(false, modeler.NewTerm(3, 1))}, true},
		"rank of an older term": {"x", modeler.Peer{Loads: load(true, modeler.NewTerm(2, 4))}, true},
	} {
		var elector Elector
		claims := false
		for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 100 * time.Millisecond {
			now := start.Add(elapsed)
			test.peer.Instance, test.peer.LastHeartbeat = peer, now
			claims = elector.ShouldClaim(View{
				Self: self, Partition: modeler.Partition{Name: "costa-1", Region: "costa"}, Owner: test.owner,
				Term: modeler.NewTerm(3, 0), Peers: []modeler.Peer{test.peer},
			}, now)
		}
		if claims != test.claims {
			t.Errorf("%s: claims is %t, want %t", name, claims, test.claims)
		}
	}
}

// TestSuccessors_NamesLivePeers guards against successors that are not live,
// too many, or not in the order in which they would claim.
func TestSuccessors_NamesLivePeers(t *testing.T) {
	instances := make([]modeler.Instance, 0, 9)
	for i := range 9 {
		instances = append(instances, instance(modeler.InstanceID(fmt.Sprintf("i%d", i)), "costa"))
	}
	view := views(start, "", instances...)[0]
	view.Peers[2].LastHeartbeat = start.Add(-SuspectAfter)
	view.Peers[3].Draining = true
	successors := Successors(view, start)
	if len(successors) != maxSuccessors || slices.Contains(successors, "i0") ||
		slices.Contains(successors, view.Peers[2].Instance.ID) || slices.Contains(successors, view.Peers[3].Instance.ID) {
		t.Errorf("successors are %v", successors)
	}
	if term, ok := RankTerm(modeler.NewTerm(3, 0), successors, successors[1]); !ok || term != modeler.NewTerm(3, 2) {
		t.Errorf("term of the second successor is %s, %t", term, ok)
	}
	if _, ok := RankTerm(modeler.NewTerm(3, 2), successors, successors[0]); ok {
		t.Error("the term of a rank before the current one may be taken")
	}
}

// TestPartitionOf_KeepsRacksTogether guards against a rack that is divided
// between partitions, and against partitions that get no endpoint.
func TestPartitionOf_KeepsRacksTogether(t *testing.T) {
	doc := modeler.Document{Partitions: []modeler.Partition{
		{Name: "costa-1", Region: "costa"}, {Name: "costa-2", Region: "costa"}, {Name: "selva-1", Region: "selva"},
	}}
	counts := map[modeler.PartitionID]int{}
	for rack := range 64 {
		name := fmt.Sprintf("r%d", rack)
		first := PartitionOf(doc, modeler.Instance{ID: "w1", Region: "costa", Rack: name})
		if second := PartitionOf(doc, modeler.Instance{ID: "w2", Region: "costa", Rack: name}); first != second {
			t.Errorf("rack %s is in %s and %s", name, first, second)
		}
		counts[first]++
	}
	if counts["costa-1"] < 16 || counts["costa-2"] < 16 || counts["selva-1"] != 0 {
		t.Errorf("racks by partition: %v", counts)
	}
}
