package elector

import (
	"context"
	"math/rand/v2"
	"sync"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// isNew reports whether the owner became known so recently that it may still be
// loading the state. Such an owner is only replaced if it has ended: the next one
// would need as long.
func (e *Elector) isNew(known Ownership) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return known.Term != 0 && e.owner.Term == known.Term && definer.Since(e.ownerLearned) < minTenure
}

// ownerAnswers asks a suspected owner again. It reports whether the owner answers,
// still owns the cell and has the store.
func (e *Elector) ownerAnswers(ctx context.Context, known Ownership) bool {
	reply := e.exchange(ctx, known.Address, false)
	answers := reply != nil && reply.IsOwner && reply.Term == known.Term && reply.StoreAge <= maxOwnerStoreAge
	if answers {
		e.logger.Info("owner answers again", "term", known.Term, "store age", reply.StoreAge.String())
	}

	return answers
}

// maxVoters bounds the peers that are asked whether they reach the owner. All
// instances suspect it at the same time, so asking all of them would cost the square
// of their number in calls.
const maxVoters = 15

// majorityLostOwner reports whether most instances, including this one, cannot
// reach the owner. It asks a random sample of them. The instance of the owner counts
// as one of them. It is false with fewer than 2 peers. An error only costs a change
// of the owner: the store accepts one claim at an offset.
func (e *Elector) majorityLostOwner(ctx context.Context, owner Ownership) bool {
	peers := e.peerInstances()
	if len(peers) < 2 {
		return false
	}
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	peers = peers[:min(len(peers), maxVoters)]
	lost := make(chan bool, len(peers))
	var group sync.WaitGroup
	for _, peer := range peers {
		if peer.Address == owner.Address {
			lost <- true

			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			reply := e.exchange(ctx, peer.Address, false)
			lost <- reply != nil && reply.Term == owner.Term && !reply.ReachesOwner
		}()
	}
	group.Wait()
	close(lost)
	votes := 1
	for vote := range lost {
		if vote {
			votes++
		}
	}

	return votes*2 > len(peers)+1
}
