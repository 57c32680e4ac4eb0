package scheduler

import "time"

// Order says which team is served next within a band of urgency.
type Order int

// The orders of service.
const (
	// OrderShare serves the team with the lowest weighted dominant share.
	OrderShare Order = iota
	// OrderArrival serves jobs as they came, whatever their team.
	OrderArrival
)

// Choice says which of the endpoints with room gets a task.
type Choice int

// The ways to choose an endpoint.
const (
	// ChoiceFirstFit takes the first endpoint with room.
	ChoiceFirstFit Choice = iota
	// ChoiceScored compares several endpoints with room by the task's policy.
	ChoiceScored
	// ChoiceTwoRandom takes the emptier of two random endpoints with room.
	ChoiceTwoRandom
)

// Settings selects the parts of the decision core, so that measurements can
// compare whole policies in one run.
type Settings struct {
	Order  Order
	Choice Choice
	// Bands serves work by class, and work whose deadline is in danger before
	// other work of its class.
	Bands bool
	// Reserve holds capacity for jobs that wait for room.
	Reserve bool
	// Preempt makes room for urgent work by preempting batch work.
	Preempt bool
	// Reclaim makes room for teams below their share by preempting batch work
	// of teams above theirs.
	Reclaim bool
	// Deadlines orders batch work by deadline and raises work in danger.
	Deadlines bool
	// Quarantine closes workers that fail every task.
	Quarantine bool
	// MaxJobsPerTeam bounds the jobs of one team that a pass looks at.
	MaxJobsPerTeam int
	// MaxCandidates bounds the endpoints compared for one task.
	MaxCandidates int
	// Seed seeds the random choice of endpoints.
	Seed uint64
}

// DefaultSettings returns the settings of the product.
func DefaultSettings() Settings {
	return Settings{
		Order: OrderShare, Choice: ChoiceScored, Bands: true, Reserve: true, Preempt: true, Reclaim: true,
		Deadlines: true, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 4, Seed: 1,
	}
}

// LegacySettings returns the first simple version of the core: classes, limits and
// shares with first fit, and nothing that looks ahead or preempts.
func LegacySettings() Settings {
	return Settings{Order: OrderShare, Choice: ChoiceFirstFit, Bands: true, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 1, Seed: 1}
}

// FIFOSettings returns the baseline that serves jobs as they came by first fit.
func FIFOSettings() Settings {
	return Settings{Order: OrderArrival, Choice: ChoiceFirstFit, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 1, Seed: 1}
}

// TwoChoicesSettings returns the baseline that serves jobs as they came and takes the
// emptier of two random endpoints.
func TwoChoicesSettings() Settings {
	return Settings{Order: OrderArrival, Choice: ChoiceTwoRandom, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 2, Seed: 1}
}

// FairShareSettings returns the baseline that serves the team with the lowest share,
// without classes, reservations or preemption.
func FairShareSettings() Settings {
	return Settings{Order: OrderShare, Choice: ChoiceFirstFit, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 1, Seed: 1}
}

// Option changes the settings of a scheduler.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option {
	return func(s *Settings) { *s = settings }
}

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(s *Settings) { s.Seed = seed }
}

const (
	// defaultAttempts bounds the starts of a task whose job gives no bound.
	defaultAttempts = 3
	// askEvery is the time between two requests for more of a team's limit.
	askEvery = time.Second
)
