// Package elector decides which entry instance should claim a partition, and
// when. It is pure: it looks at the heartbeats and at the time it is given.
package elector

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// SuspectAfter is the age of the owner's last heartbeat at which the owner
	// is suspected to be dead; it leaves room for three lost heartbeats.
	SuspectAfter = 1200 * time.Millisecond
	// RankDelay separates the claims of the candidates, so that usually only
	// one of them claims.
	RankDelay = 300 * time.Millisecond
	// LogTimeout is how long a claim waits for the log before a successor
	// takes its rank's term without it.
	LogTimeout = 500 * time.Millisecond
	// maxSuccessors bounds the successors named in a claim.
	maxSuccessors = 5
)

// View is what an instance sees of the candidates for a partition.
type View struct {
	Self      modeler.Instance
	Partition modeler.Partition
	// Owner is the owner according to the partition's stream; empty if none.
	Owner modeler.InstanceID
	// Term is the term of the partition according to its stream.
	Term  modeler.Term
	Peers []modeler.Peer
}

// Elector keeps, for one partition, since when its owner has been suspected.
// The zero value is ready for use.
type Elector struct {
	owner     modeler.InstanceID
	seen      time.Time
	suspected time.Time
}

// ShouldClaim reports whether this instance should claim the partition now.
func (e *Elector) ShouldClaim(view View, now time.Time) bool {
	if e.seen.IsZero() || e.owner != view.Owner {
		e.owner, e.seen, e.suspected = view.Owner, now, time.Time{}
	}
	if !e.suspects(view, now) {
		e.suspected = time.Time{}

		return false
	}
	if e.suspected.IsZero() {
		e.suspected = now
	}
	rank := slices.IndexFunc(Candidates(view, now), func(i modeler.Instance) bool { return i.ID == view.Self.ID })

	return rank >= 0 && now.Sub(e.suspected) >= time.Duration(rank)*RankDelay
}

// suspects reports whether the owner is unknown, draining or silent. An owner
// that was never heard is given the same time as one that fell silent; so is
// this instance itself after it lost the partition without a later claim. No
// owner is missing while a peer works under a later term, which it took by
// rank.
func (e *Elector) suspects(view View, now time.Time) bool {
	if ownedByRank(view, now) {
		return false
	}
	if view.Owner == "" {
		return true
	}
	heard := e.seen
	for _, peer := range view.Peers {
		if peer.Instance.ID != view.Owner {
			continue
		}
		if peer.Draining {
			return true
		}
		if peer.LastHeartbeat.After(heard) {
			heard = peer.LastHeartbeat
		}
	}

	return now.Sub(heard) >= SuspectAfter
}

// ownedByRank reports whether a live peer says that it works under a later
// term than the stream has.
func ownedByRank(view View, now time.Time) bool {
	for _, peer := range view.Peers {
		if peer.Draining || peer.LastHeartbeat.IsZero() || now.Sub(peer.LastHeartbeat) >= SuspectAfter {
			continue
		}
		for _, load := range peer.Loads {
			if load.Partition == view.Partition.Name && load.Ready && load.Term > view.Term {
				return true
			}
		}
	}

	return false
}

// Candidates returns the instances that may claim the partition, in the order
// of their claims: this instance and the peers that are live, heard and not
// draining.
func Candidates(view View, now time.Time) []modeler.Instance {
	candidates := []modeler.Instance{view.Self}
	for _, peer := range view.Peers {
		live := !peer.LastHeartbeat.IsZero() && now.Sub(peer.LastHeartbeat) < SuspectAfter
		if live && !peer.Draining && peer.Instance.State != modeler.StateLeaving {
			candidates = append(candidates, peer.Instance)
		}
	}

	return Order(view.Partition, candidates)
}

// Successors returns the list that a claim by this instance names.
func Successors(view View, now time.Time) []modeler.InstanceID {
	var successors []modeler.InstanceID
	for _, candidate := range Candidates(view, now) {
		if candidate.ID != view.Self.ID && len(successors) < maxSuccessors {
			successors = append(successors, candidate.ID)
		}
	}

	return successors
}

// MinSuccessors is the number of live successors below which an owner claims
// anew. Two may die before the log is needed for a takeover.
const MinSuccessors = 3

// CountLive returns how many of the instances are live peers.
func CountLive(instances []modeler.InstanceID, view View, now time.Time) int {
	live := 0
	for _, candidate := range Candidates(view, now) {
		if candidate.ID != view.Self.ID && slices.Contains(instances, candidate.ID) {
			live++
		}
	}

	return live
}

// RankTerm returns the term that an instance may take without the log: that
// of its position in the successors of the present claim.
func RankTerm(term modeler.Term, successors []modeler.InstanceID, self modeler.InstanceID) (modeler.Term, bool) {
	at := slices.Index(successors, self)
	if at < 0 {
		return 0, false
	}
	taken := modeler.NewTerm(term.Epoch(), uint8(at+1))

	return taken, taken > term
}

// Order sorts instances by rendezvous hashing over the partition, those of the
// partition's region first.
func Order(partition modeler.Partition, instances []modeler.Instance) []modeler.Instance {
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b modeler.Instance) int {
		if near, far := a.Region == partition.Region, b.Region == partition.Region; near != far {
			if near {
				return -1
			}

			return 1
		}

		return cmp.Or(
			cmp.Compare(score(string(partition.Name), string(b.ID)), score(string(partition.Name), string(a.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})

	return ordered
}

// PartitionOf returns the partition of an endpoint: one of its region, chosen
// by rendezvous hashing over its rack. An endpoint without a rack counts as a
// rack of its own. It returns the empty id when the region has no partition.
func PartitionOf(doc modeler.Document, endpoint modeler.Instance) modeler.PartitionID {
	rack := endpoint.Region + "/" + endpoint.Rack
	if endpoint.Rack == "" {
		rack = endpoint.Region + "//" + string(endpoint.ID)
	}
	var best modeler.PartitionID
	var highest uint64
	for _, p := range doc.Partitions {
		if p.Region != endpoint.Region {
			continue
		}
		if s := score(rack, string(p.Name)); best == "" || s > highest || s == highest && p.Name < best {
			best, highest = p.Name, s
		}
	}

	return best
}

// score is the rendezvous weight of a candidate for a key.
func score(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)

	return digest.Sum64()
}
