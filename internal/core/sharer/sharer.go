// Package sharer tracks the usage of teams and computes how much of the cluster each
// team may use: its allotment is always a bound, and weighted dominant-resource max-min
// fair shares apply while the cluster is full.
package sharer

import "gitlab.com/greengagewall/greengagewall/internal/domain/modeler"

// Team is the account of one team.
type Team struct {
	ID        modeler.TeamID
	Share     int64
	Allotment modeler.Resources
	// Running is the sum of the declared needs of the team's running tasks.
	Running modeler.Resources
	// Queued is the sum of the declared needs of the team's queued tasks.
	Queued modeler.Resources
	// FairShare is the team's max-min fair share of the cluster, as computed by the
	// last call of UpdateFairShares.
	FairShare modeler.Resources
	// weightedShare is the dominant share of Running divided by Share.
	weightedShare float64
}

// WeightedShare returns the dominant share of the team's running tasks divided by the
// team's Share.
func (t *Team) WeightedShare() float64 { return t.weightedShare }

// Allows reports whether amount fits the unused part of the team's allotment.
func (t *Team) Allows(amount modeler.Resources) bool {
	return t.Running.Add(amount).Fits(t.Allotment)
}

// OverLimit reports whether the team's running tasks exceed its allotment.
func (t *Team) OverLimit() bool { return !t.Running.Fits(t.Allotment) }

// Sharer holds the accounts of all teams.
type Sharer struct {
	teams   map[modeler.TeamID]*Team
	ordered []*Team
	total   modeler.Resources
}

// New returns a sharer without teams.
func New() *Sharer { return &Sharer{teams: make(map[modeler.TeamID]*Team)} }

// Team returns the account of a team, creating it on first use. A team that has not
// been set has no allotment, so that none of its tasks starts.
func (s *Sharer) Team(id modeler.TeamID) *Team {
	team, known := s.teams[id]
	if !known {
		team = &Team{ID: id, Share: 1}
		s.teams[id] = team
		s.ordered = append(s.ordered, team)
	}

	return team
}

// Set changes the share and the allotment of a team.
func (s *Sharer) Set(id modeler.TeamID, share int64, allotment modeler.Resources) *Team {
	team := s.Team(id)
	team.Share, team.Allotment = max(share, 1), allotment
	s.updateWeightedShare(team)

	return team
}

// SetTotal sets the total capacity to which shares refer.
func (s *Sharer) SetTotal(total modeler.Resources) {
	if total == s.total {
		return
	}
	s.total = total
	for _, team := range s.ordered {
		s.updateWeightedShare(team)
	}
}

// Teams returns all teams in order of first mention.
func (s *Sharer) Teams() []*Team { return s.ordered }

// AddRunning adds amount, which may be negative, to the needs of a team's running
// tasks.
func (s *Sharer) AddRunning(team *Team, amount modeler.Resources) {
	team.Running = team.Running.Add(amount)
	s.updateWeightedShare(team)
}

// AddQueued adds amount, which may be negative, to the needs of a team's queued tasks.
func (s *Sharer) AddQueued(team *Team, amount modeler.Resources) {
	team.Queued = team.Queued.Add(amount)
}

func (s *Sharer) updateWeightedShare(team *Team) {
	team.weightedShare = team.Running.DominantShare(s.total) / float64(team.Share)
}
