package scheduler

import "time"

// Order selects which team is served next within a priority band.
type Order int

// The service orders.
const (
	// OrderShare serves the team with the lowest weighted dominant share.
	OrderShare Order = iota
	// OrderArrival serves jobs in order of arrival, regardless of team.
	OrderArrival
)

// Choice selects the endpoint for a task among those with room.
type Choice int

// The placement strategies.
const (
	// ChoiceFirstFit takes the first endpoint with room.
	ChoiceFirstFit Choice = iota
	// ChoiceScored takes the endpoint with the best score under the task's
	// policy among several with room.
	ChoiceScored
	// ChoiceTwoRandom takes the emptier of two random endpoints with room.
	ChoiceTwoRandom
)

// Settings enables the features of the scheduler. Benchmarks compare several
// settings in one run.
type Settings struct {
	Order  Order
	Choice Choice
	// Bands serves work by class, and work with an endangered deadline before
	// other work of its class.
	Bands bool
	// Reserve reserves capacity for jobs that would otherwise not find room.
	Reserve bool
	// Preempt preempts batch work for more urgent work.
	Preempt bool
	// Reclaim preempts batch work of teams above their fair share for teams
	// below theirs.
	Reclaim bool
	// Deadlines orders batch work by deadline and promotes jobs whose deadline is
	// endangered.
	Deadlines bool
	// Quarantine takes workers that keep failing tasks out of service for a while.
	Quarantine bool
	// MaxJobsPerTeam bounds the jobs of one team that a pass considers.
	MaxJobsPerTeam int
	// MaxCandidates bounds the endpoints scored for one task.
	MaxCandidates int
	// Seed seeds the random choice of endpoints.
	Seed uint64
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		Order: OrderShare, Choice: ChoiceScored, Bands: true, Reserve: true, Preempt: true, Reclaim: true,
		Deadlines: true, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 4, Seed: 1,
	}
}

// LegacySettings returns the settings of the first version: classes, limits and
// shares with first fit, without reservations, deadlines or preemption.
func LegacySettings() Settings {
	return Settings{Order: OrderShare, Choice: ChoiceFirstFit, Bands: true, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 1, Seed: 1}
}

// FIFOSettings returns the baseline that serves jobs in order of arrival with
// first fit.
func FIFOSettings() Settings {
	return Settings{Order: OrderArrival, Choice: ChoiceFirstFit, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 1, Seed: 1}
}

// TwoChoicesSettings returns the baseline that serves jobs in order of arrival
// and takes the emptier of two random endpoints.
func TwoChoicesSettings() Settings {
	return Settings{Order: OrderArrival, Choice: ChoiceTwoRandom, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 2, Seed: 1}
}

// FairShareSettings returns the baseline that serves the team with the lowest
// weighted dominant share, without classes, reservations or preemption.
func FairShareSettings() Settings {
	return Settings{Order: OrderShare, Choice: ChoiceFirstFit, Quarantine: true, MaxJobsPerTeam: 16, MaxCandidates: 1, Seed: 1}
}

// Option modifies the settings of a new scheduler.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option {
	return func(s *Settings) { *s = settings }
}

// WithSeed sets the seed of the random placement choices.
func WithSeed(seed uint64) Option {
	return func(s *Settings) { s.Seed = seed }
}

const (
	// defaultAttempts bounds the starts of a task whose job sets no bound.
	defaultAttempts = 3
	// tokenRequestInterval is the minimum time between two requests for a larger
	// allotment of the same team.
	tokenRequestInterval = time.Second
)
