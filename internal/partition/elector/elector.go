// Package elector decides which entry instance should claim a partition, and
// when. It is pure: it depends only on the heartbeats and the time that are
// passed in.
package elector

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// SuspectAfter is the age of the owner's last heartbeat from which on the
	// owner is suspected to have failed; it leaves room for three lost
	// heartbeats.
	SuspectAfter = 1200 * time.Millisecond
	// RankDelay separates the claims of successive candidates, so that usually
	// only one of them claims.
	RankDelay = 300 * time.Millisecond
	// LogTimeout is how long a claim waits for the log before a successor takes
	// the term of its rank without the log.
	LogTimeout = 500 * time.Millisecond
	// maxSuccessors limits the successors named in a claim.
	maxSuccessors = 5
)

// View is an instance's view of a partition and of the candidates for it.
type View struct {
	Self      modeler.Instance
	Partition modeler.Partition
	// Owner is the owner according to the partition's stream; empty if none.
	Owner modeler.InstanceID
	// Term is the term of the partition according to its stream.
	Term  modeler.Term
	Peers []modeler.Peer
}

// Elector tracks, for one partition, since when its owner has been suspected.
// The zero value is ready for use.
type Elector struct {
	owner          modeler.InstanceID
	ownerSince     time.Time
	suspectedSince time.Time
}

// ShouldClaim reports whether this instance should claim the partition now.
func (e *Elector) ShouldClaim(view View, now time.Time) bool {
	if e.ownerSince.IsZero() || e.owner != view.Owner {
		e.owner, e.ownerSince, e.suspectedSince = view.Owner, now, time.Time{}
	}
	if !e.ownerSuspected(view, now) {
		e.suspectedSince = time.Time{}

		return false
	}
	if e.suspectedSince.IsZero() {
		e.suspectedSince = now
	}
	rank := slices.IndexFunc(Candidates(view, now), func(i modeler.Instance) bool { return i.ID == view.Self.ID })

	return rank >= 0 && now.Sub(e.suspectedSince) >= time.Duration(rank)*RankDelay
}

// ownerSuspected reports whether the owner is unknown, draining or silent. An
// owner from which no heartbeat was ever received gets the same time as one
// that fell silent; the same holds for this instance after it lost the
// partition without a later claim. The owner is not suspected while a peer
// works under a later term, which it took by rank.
func (e *Elector) ownerSuspected(view View, now time.Time) bool {
	if ownedByRank(view, now) {
		return false
	}
	if view.Owner == "" {
		return true
	}
	lastHeartbeat := e.ownerSince
	for _, peer := range view.Peers {
		if peer.Instance.ID != view.Owner {
			continue
		}
		if peer.Draining {
			return true
		}
		if peer.LastHeartbeat.After(lastHeartbeat) {
			lastHeartbeat = peer.LastHeartbeat
		}
	}

	return now.Sub(lastHeartbeat) >= SuspectAfter
}

// ownedByRank reports whether a live peer reports that it works under a later
// term than the stream contains.
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
// of their claims: this instance and the peers with a recent heartbeat that are
// neither draining nor leaving.
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

// Successors returns the successors that a claim by this instance names, in the
// order of their ranks.
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
// the next epoch to name new ones. With this many, two may fail before a
// takeover needs the log.
const MinSuccessors = 3

// CountLive returns how many of the instances are live peers that may claim the
// partition.
func CountLive(instances []modeler.InstanceID, view View, now time.Time) int {
	live := 0
	for _, candidate := range Candidates(view, now) {
		if candidate.ID != view.Self.ID && slices.Contains(instances, candidate.ID) {
			live++
		}
	}

	return live
}

// RankTerm returns the term that an instance may take without the log, given by
// its position in the successors of the current claim. It returns false if the
// instance is no successor or the term is not later than the current one.
func RankTerm(term modeler.Term, successors []modeler.InstanceID, self modeler.InstanceID) (modeler.Term, bool) {
	at := slices.Index(successors, self)
	if at < 0 {
		return 0, false
	}
	taken := modeler.NewTerm(term.Epoch(), uint8(at+1))

	return taken, taken > term
}

// Order sorts instances by rendezvous hashing over the partition; those of the
// partition's region come first.
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
			cmp.Compare(rendezvousScore(string(partition.Name), string(b.ID)), rendezvousScore(string(partition.Name), string(a.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})

	return ordered
}

// PartitionOf returns the partition of an endpoint: one of its region, chosen
// by rendezvous hashing over its rack. An endpoint without a rack is treated as
// a separate rack. It returns the empty ID when the region has no partition.
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
		if s := rendezvousScore(rack, string(p.Name)); best == "" || s > highest || s == highest && p.Name < best {
			best, highest = p.Name, s
		}
	}

	return best
}

// rendezvousScore returns the rendezvous weight of a candidate for a key.
func rendezvousScore(key, candidate string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(candidate)

	return hash.Sum64()
}
