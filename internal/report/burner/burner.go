// Package burner computes the burn rates of the error budgets of service levels, per
// team and queue and over several windows, from decision records and call outcomes.
// It reads no clock; the time is an argument.
package burner

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Period is the time over which an error budget is counted. It is also the longest
// window.
const Period = 72 * time.Hour

// Windows are the windows of a report, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, Period}

// Rule raises an alert while the burn rates over both windows are at least Rate.
// The long window shows that the loss is significant, the short window that it
// continues.
type Rule struct {
	Name        string
	Long, Short time.Duration
	Rate        float64
}

// Rules are multi-window, multi-burn-rate alerts, with the rates scaled to the
// period: 1 h at a rate of 14.4 uses a fifth of the budget of 3 days, and 6 h at a
// rate of 6 uses half of it.
var Rules = []Rule{
	{Name: "page", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4},
	{Name: "page", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6},
	{Name: "ticket", Long: Period, Short: 6 * time.Hour, Rate: 1},
}

// Outcome is the number of jobs or calls of a team on a queue that met (Good) or
// missed (Bad) the objective at a time.
type Outcome struct {
	Team  modeler.TeamID  `json:"team"`
	Queue modeler.QueueID `json:"queue"`
	Time  time.Time       `json:"time"`
	Good  int64           `json:"good,omitempty"`
	Bad   int64           `json:"bad,omitempty"`
}

// Burn is the use of an error budget in one window.
type Burn struct {
	Window string `json:"window"`
	Good   int64  `json:"good"`
	Bad    int64  `json:"bad"`
	// Rate is the fraction of work that missed the objective, divided by the fraction
	// that is allowed to miss it. At a rate of 1 the budget lasts exactly the
	// period.
	Rate float64 `json:"rate"`
}

// Level is the state of the service level of a team on a queue.
type Level struct {
	Team  modeler.TeamID  `json:"team"`
	Queue modeler.QueueID `json:"queue"`
	// Wait and Target are the objective.
	Wait   string  `json:"wait"`
	Target float64 `json:"target"`
	Burns  []Burn  `json:"burns"`
	// Left is the remaining fraction of the budget of the period. It is negative if
	// the budget is exceeded.
	Left   float64  `json:"left"`
	Alerts []string `json:"alerts,omitempty"`
	// Series holds the burn rate of each hour of the period, oldest first.
	Series []float64 `json:"series"`
}

// Report is the state of all service levels at a time.
type Report struct {
	Time   time.Time `json:"time"`
	Levels []Level   `json:"levels"`
}

// levelKey identifies a service level.
type levelKey struct {
	team  modeler.TeamID
	queue modeler.QueueID
}

// Compute returns the report at now for the queues that have an objective. It ignores
// outcomes after now or before the period.
func Compute(doc modeler.Document, outcomes []Outcome, now time.Time) Report {
	objectives := ObjectivesByQueue(doc)
	grouped := map[levelKey][]Outcome{}
	for _, outcome := range outcomes {
		age := now.Sub(outcome.Time)
		if _, ok := objectives[outcome.Queue]; ok && age >= 0 && age < Period {
			k := levelKey{outcome.Team, outcome.Queue}
			grouped[k] = append(grouped[k], outcome)
		}
	}
	report := Report{Time: now.UTC(), Levels: []Level{}}
	for k, list := range grouped {
		report.Levels = append(report.Levels, computeLevel(k, objectives[k.queue], list, now))
	}
	slices.SortFunc(report.Levels, func(a, b Level) int {
		return cmp.Or(strings.Compare(string(a.Team), string(b.Team)), strings.Compare(string(a.Queue), string(b.Queue)))
	})

	return report
}

// ObjectivesByQueue returns the objectives of the queues that have one.
func ObjectivesByQueue(doc modeler.Document) map[modeler.QueueID]modeler.Objective {
	objectives := map[modeler.QueueID]modeler.Objective{}
	for _, queue := range doc.Queues {
		if queue.Objective.Target > 0 && queue.Objective.Target < 1 {
			objectives[queue.Name] = queue.Objective
		}
	}

	return objectives
}

// computeLevel computes the state of one service level.
func computeLevel(k levelKey, objective modeler.Objective, outcomes []Outcome, now time.Time) Level {
	l := Level{
		Team: k.team, Queue: k.queue, Wait: formatDuration(objective.Wait), Target: objective.Target,
		Series: make([]float64, int(Period/time.Hour)),
	}
	rates := map[time.Duration]float64{}
	for _, window := range Windows {
		good, bad := countOutcomes(outcomes, now, 0, window)
		rates[window] = burnRate(good, bad, objective.Target)
		l.Burns = append(l.Burns, Burn{Window: formatDuration(window), Good: good, Bad: bad, Rate: rates[window]})
	}
	for i := range l.Series {
		age := Period - time.Duration(i+1)*time.Hour
		good, bad := countOutcomes(outcomes, now, age, age+time.Hour)
		l.Series[i] = burnRate(good, bad, objective.Target)
	}
	l.Left = 1 - rates[Period]
	for _, rule := range Rules {
		if rates[rule.Long] >= rule.Rate && rates[rule.Short] >= rule.Rate {
			l.Alerts = append(l.Alerts, rule.Name+" "+formatDuration(rule.Long)+"/"+formatDuration(rule.Short))
		}
	}

	return l
}

// countOutcomes sums the outcomes with an age of at least from and less than to.
func countOutcomes(outcomes []Outcome, now time.Time, from, to time.Duration) (good, bad int64) {
	for _, outcome := range outcomes {
		if age := now.Sub(outcome.Time); age >= from && age < to {
			good, bad = good+outcome.Good, bad+outcome.Bad
		}
	}

	return good, bad
}

// burnRate returns the burn rate, or 0 without any work.
func burnRate(good, bad int64, target float64) float64 {
	if good+bad == 0 {
		return 0
	}

	return float64(bad) / float64(good+bad) / (1 - target)
}

// formatDuration formats a duration without trailing zero parts, in days if it is a
// whole number of days.
func formatDuration(d time.Duration) string {
	if d >= 24*time.Hour && d%(24*time.Hour) == 0 {
		return strconv.FormatInt(int64(d/(24*time.Hour)), 10) + "d"
	}
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}

	return text
}
