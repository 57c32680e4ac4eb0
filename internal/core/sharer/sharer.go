// Package sharer decides how much of the cluster each team may have: upper
// limits always, and weighted dominant-resource max-min shares while the
// cluster is full.
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
	// FairShare is the part of the cluster that max-min fairness gives the team,
	// as computed by the last call of Balance.
	FairShare modeler.Resources
	// level is the weighted dominant share of Running.
	level float64
}

// WeightedShare returns the weighted dominant share of what the team has running.
func (t *Team) WeightedShare() float64 { return t.level }

// Allows reports whether the team's upper limit leaves room for amount.
func (t *Team) Allows(amount modeler.Resources) bool {
	return t.Running.Add(amount).Fits(t.Allotment)
}

// OverLimit reports whether the team has more running than its upper limit.
func (t *Team) OverLimit() bool { return !t.Running.Fits(t.Allotment) }

// Sharer is the account of all teams.
type Sharer struct {
	teams map[modeler.TeamID]*Team
	order []*Team
	total modeler.Resources
}

// New returns a sharer without teams.
func New() *Sharer { return &Sharer{teams: make(map[modeler.TeamID]*Team)} }

// Team returns the account of a team. A team that has not been set has no
// allotment, so that nothing of it starts.
func (s *Sharer) Team(id modeler.TeamID) *Team {
	team, known := s.teams[id]
	if !known {
		team = &Team{ID: id, Share: 1}
		s.teams[id] = team
		s.order = append(s.order, team)
	}

	return team
}

// Set changes the share and the allotment of a team.
func (s *Sharer) Set(id modeler.TeamID, share int64, allotment modeler.Resources) *Team {
	team := s.Team(id)
	team.Share, team.Allotment = max(share, 1), allotment
	s.measure(team)

	return team
}

// SetTotal changes the capacity that shares are computed of.
func (s *Sharer) SetTotal(total modeler.Resources) {
	if total == s.total {
		return
	}
	s.total = total
	for _, team := range s.order {
		s.measure(team)
	}
}

// Teams returns all teams in order of first mention.
func (s *Sharer) Teams() []*Team { return s.order }

// AddRunning adds amount, which may be negative, to what a team has running.
func (s *Sharer) AddRunning(team *Team, amount modeler.Resources) {
	team.Running = team.Running.Add(amount)
	s.measure(team)
}

// AddQueued adds amount, which may be negative, to what a team has queued.
func (s *Sharer) AddQueued(team *Team, amount modeler.Resources) { team.Queued = team.Queued.Add(amount) }

func (s *Sharer) measure(team *Team) {
	team.level = team.Running.DominantShare(s.total) / float64(team.Share)
}
