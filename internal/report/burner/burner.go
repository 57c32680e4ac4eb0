// Package burner computes how fast each team's service levels use up their
// error budgets: per queue, over several windows, from decision records and
// call outcomes. It is a pure core that takes the time as input.
package burner

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Period is the time over which an error budget is counted; it is also the
// longest window.
const Period = 72 * time.Hour

// Windows are the lengths of the windows of a report, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, Period}

// Rule raises an alert while the burn rates of both windows are at least Rate.
// The long window shows that the loss matters, the short one that it goes on.
type Rule struct {
	Name        string
	Long, Short time.Duration
	Rate        float64
}

// Rules are those of multi-window, multi-burn-rate alerts, with the rates
// scaled to the period: 1 h at a rate of 14.4 uses a fifth of the budget of
// 3 days, 6 h at a rate of 6 half of it.
var Rules = []Rule{
	{Name: "page", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4},
	{Name: "page", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6},
	{Name: "ticket", Long: Period, Short: 6 * time.Hour, Rate: 1},
}

// Outcome counts the jobs or calls of a team on a queue that met or missed the
// objective at a time.
type Outcome struct {
	Team  modeler.TeamID  `json:"team"`
	Queue modeler.QueueID `json:"queue"`
	Time  time.Time       `json:"time"`
	Good  int64           `json:"good,omitempty"`
	Bad   int64           `json:"bad,omitempty"`
}

// Burn is the use of a budget in one window.
type Burn struct {
	Window string `json:"window"`
	Good   int64  `json:"good"`
	Bad    int64  `json:"bad"`
	// Rate is the part of work that missed the objective, divided by the part
	// that may: at a rate of 1 the budget lasts exactly for the period.
	Rate float64 `json:"rate"`
}

// Level is the state of one service level.
type Level struct {
	Team  modeler.TeamID  `json:"team"`
	Queue modeler.QueueID `json:"queue"`
	// Wait and Target are the objective.
	Wait   string  `json:"wait"`
	Target float64 `json:"target"`
	Burns  []Burn  `json:"burns"`
	// Left is the part of the budget of the period that is left; it is
	// negative when the budget is overdrawn.
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

// key identifies a service level.
type key struct {
	team  modeler.TeamID
	queue modeler.QueueID
}

// Compute returns the report at now for the queues that have an objective.
// Outcomes after now or before the period are left out.
func Compute(doc modeler.Document, outcomes []Outcome, now time.Time) Report {
	objectives := ObjectivesByQueue(doc)
	grouped := map[key][]Outcome{}
	for _, outcome := range outcomes {
		age := now.Sub(outcome.Time)
		if _, ok := objectives[outcome.Queue]; ok && age >= 0 && age < Period {
			k := key{outcome.Team, outcome.Queue}
			grouped[k] = append(grouped[k], outcome)
		}
	}
	report := Report{Time: now.UTC(), Levels: []Level{}}
	for k, list := range grouped {
		report.Levels = append(report.Levels, level(k, objectives[k.queue], list, now))
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

// level computes one service level.
func level(k key, objective modeler.Objective, outcomes []Outcome, now time.Time) Level {
	l := Level{
		Team: k.team, Queue: k.queue, Wait: short(objective.Wait), Target: objective.Target,
		Series: make([]float64, int(Period/time.Hour)),
	}
	rates := map[time.Duration]float64{}
	for _, window := range Windows {
		good, bad := count(outcomes, now, 0, window)
		rates[window] = rate(good, bad, objective.Target)
		l.Burns = append(l.Burns, Burn{Window: short(window), Good: good, Bad: bad, Rate: rates[window]})
	}
	for i := range l.Series {
		age := Period - time.Duration(i+1)*time.Hour
		good, bad := count(outcomes, now, age, age+time.Hour)
		l.Series[i] = rate(good, bad, objective.Target)
	}
	l.Left = 1 - rates[Period]
	for _, rule := range Rules {
		if rates[rule.Long] >= rule.Rate && rates[rule.Short] >= rule.Rate {
			l.Alerts = append(l.Alerts, rule.Name+" "+short(rule.Long)+"/"+short(rule.Short))
		}
	}

	return l
}

// count adds up the outcomes whose age is at least from and below to.
func count(outcomes []Outcome, now time.Time, from, to time.Duration) (good, bad int64) {
	for _, outcome := range outcomes {
		if age := now.Sub(outcome.Time); age >= from && age < to {
			good, bad = good+outcome.Good, bad+outcome.Bad
		}
	}

	return good, bad
}

// rate returns the burn rate; without any work nothing burns.
func rate(good, bad int64, target float64) float64 {
	if good+bad == 0 {
		return 0
	}

	return float64(bad) / float64(good+bad) / (1 - target)
}

// short formats the length of a window.
func short(d time.Duration) string {
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
