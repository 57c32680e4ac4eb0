package simulator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// ClassResult tells how the jobs of a class fared.
type ClassResult struct {
	Name string
	// Jobs counts the jobs; InTime those that met their objective, and Late those that took up to lateFactor times as long.
	Jobs, InTime, Late int
	// Refused counts those that were not admitted. Hot, HotRefused and HotUseful count the jobs of the bursts of hot
	// accounts, those of them that were not admitted, and those that were in time or late; the other counts leave
	// them out.
	Refused, Hot, HotRefused, HotUseful int
	// Done is the core-seconds of the work of the jobs in time, and of lateWorth of that of late ones, those of
	// bursts included.
	Done float64
	// Earned is the share of the worth of the jobs that was earned: a job is worth 0.3 and 0.7 of its work against the
	// mean, at most maxWorth, and lateWorth of that if it is late.
	Earned float64
	// Waits holds the times until the first start, in order.
	Waits []time.Duration
	// Lacked is the mean time that the gangs of a job waited, by what they lacked.
	Lacked map[string]time.Duration
	// Starts counts the starts of tasks, and Speed is the mean speed of their endpoints.
	Starts int
	Speed  float64
	// Widths tells the share of the jobs in time by the width of their widest step.
	Widths []WidthResult
	// RunTimes compares the runs with what was predicted.
	RunTimes planner.RunTimes
}

// WidthResult tells how the jobs up to a width fared.
type WidthResult struct{ Most, Jobs, InTime int }

// Result is the result of a simulation.
type Result struct {
	Classes []ClassResult
	// Questions counts the questions to the policies, and QuestionTime is their total time.
	Questions    int
	QuestionTime time.Duration
	// InvalidTickets counts the starts that were refused for their ticket, Stopped the runs that were stopped, and
	// OverCapacity the starts beyond the capacity of their endpoint.
	InvalidTickets, Stopped, OverCapacity int
	// Refusals counts the jobs that were not admitted by the reason.
	Refusals map[string]int
	// Loads holds the notes about the load.
	Loads []planner.Note
	waits map[string]time.Duration
}

const (
	lateFactor = 3
	lateWorth  = 0.2
	maxWorth   = 4
)

var widths = [...]int{10, 20, 40, 60, 100, 1000}

func newResult(classes []Class) *Result {
	r := &Result{waits: map[string]time.Duration{}, Refusals: map[string]int{}}
	for i := range classes {
		r.Classes = append(r.Classes, ClassResult{Name: classes[i].Name, Lacked: map[string]time.Duration{}})
	}

	return r
}

// note evaluates a note of the planner.
func (r *Result) note(c *cell, note planner.Note) {
	switch note.Event {
	case "first start":
		if waited, ok := note.Args[1].(time.Duration); ok {
			r.waits[note.Job] = waited
		}
	case "completed":
		c.jobs[note.Job].doneAt = c.now
	case "gang started":
		for i := 0; i+1 < len(note.Args); i += 2 {
			name, _ := note.Args[i].(string)
			if spent, ok := note.Args[i+1].(time.Duration); ok && strings.HasPrefix(name, "lacked ") {
				c.jobs[note.Job].lacked[strings.TrimPrefix(name, "lacked ")] += spent
			}
		}
	case planner.RunTimesNote:
		if queues, ok := note.Args[1].(map[string]*planner.RunTimes); ok {
			r.addRunTimes(queues)
		}
	case "load":
		r.Loads = append(r.Loads, note)
	}
}

// addRunTimes adds what a note tells about run times.
func (r *Result) addRunTimes(queues map[string]*planner.RunTimes) {
	for i := range r.Classes {
		if times := queues[r.Classes[i].Name]; times != nil {
			total := &r.Classes[i].RunTimes
			total.Done += times.Done
			total.Censored += times.Censored
			total.Predicted += times.Predicted
			total.WithinMedian += times.WithinMedian
			total.WithinHigh += times.WithinHigh
		}
	}
}

// started counts a start of a task of a class on an endpoint.
func (r *Result) started(class string, speed float64) {
	for i := range r.Classes {
		if c := &r.Classes[i]; c.Name == class {
			c.Starts++
			c.Speed += (speed - c.Speed) / float64(c.Starts)
		}
	}
}

// finish evaluates the jobs.
func (c *cell) finish() {
	for i := range c.result.Classes {
		c.result.Classes[i].evaluate(c)
	}
}

func (r *ClassResult) evaluate(c *cell) {
	var jobs []*job
	mean := 0.0
	for _, j := range c.jobs {
		if j.class.Name != r.Name {
			continue
		}
		r.addGoodput(j)
		if !j.hot {
			jobs = append(jobs, j)
			mean += j.weight()
		}
	}
	mean /= float64(max(len(jobs), 1))
	for _, most := range widths {
		r.Widths = append(r.Widths, WidthResult{Most: most})
	}
	owed, earned := 0.0, 0.0
	for _, j := range jobs {
		worth := min(0.3+0.7*j.weight()/mean, maxWorth)
		owed += worth
		inTime, late := j.outcome()
		r.Jobs++
		width := r.widthOf(j)
		width.Jobs++
		switch {
		case inTime:
			r.InTime++
			width.InTime++
			earned += worth
		case late:
			r.Late++
			earned += lateWorth * worth
		}
		if j.refused {
			r.Refused++
		}
		if wait, started := c.result.waits[j.ID]; started {
			r.Waits = append(r.Waits, wait)
		}
		for name, spent := range j.lacked {
			r.Lacked[name] += spent
		}
	}
	if owed > 0 {
		r.Earned = earned / owed
	}
	for name := range r.Lacked {
		r.Lacked[name] /= time.Duration(len(jobs))
	}
	slices.Sort(r.Waits)
}

// addGoodput adds the work of a job that was in time or late, and counts it if it is one of
// a burst.
func (r *ClassResult) addGoodput(j *job) {
	inTime, late := j.outcome()
	switch {
	case inTime:
		r.Done += j.weight()
	case late:
		r.Done += lateWorth * j.weight()
	}
	if !j.hot {
		return
	}
	r.Hot++
	switch {
	case j.refused:
		r.HotRefused++
	case inTime || late:
		r.HotUseful++
	}
}

// outcome reports whether a job met its objective, or took up to lateFactor times as long.
func (j *job) outcome() (inTime, late bool) {
	took := j.doneAt.Sub(j.submitted)
	inTime = j.doneAt != 0 && took <= j.objective()

	return inTime, j.doneAt != 0 && !inTime && took <= lateFactor*j.objective()
}

func (r *ClassResult) widthOf(j *job) *WidthResult {
	widest := 0
	for _, step := range j.Steps {
		widest = max(widest, step.Count)
	}
	at := slices.IndexFunc(r.Widths, func(w WidthResult) bool { return widest <= w.Most })

	return &r.Widths[max(at, 0)]
}

// Wait returns the time that the share of the jobs waited for their first start at most.
func (r *ClassResult) Wait(share float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}

	return r.Waits[min(int(share*float64(len(r.Waits))), len(r.Waits)-1)]
}

// WriteTable writes the result as text.
func (r *Result) WriteTable(out io.Writer) error {
	rows := make([]string, 0, 1+len(r.Classes))
	rows = append(rows, "class\tjobs\tearned\tin time\tlate\trefused\tgoodput\tspeed\twait p50\tp80\tp95\tp99\tlacked (mean)\tin time by width")
	for i := range r.Classes {
		class := &r.Classes[i]
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.3f\t%d\t%d\t%d\t%.0f\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s", class.Name, class.Jobs, class.Earned, class.InTime, class.Late, class.Refused, class.Done, class.Speed,
			seconds(class.Wait(0.5)), seconds(class.Wait(0.8)), seconds(class.Wait(0.95)), seconds(class.Wait(0.99)), class.lackedText(), class.widthText()))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, strings.Join(rows, "\n")+"\n"); err != nil {
		return errors.Wrap(err, "write results")
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write results")
	}
	if err := r.writeRefusals(out); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "questions %d, %s in all; starts refused for their ticket %d; runs stopped %d; starts over capacity %d\n",
		r.Questions, seconds(r.QuestionTime), r.InvalidTickets, r.Stopped, r.OverCapacity)

	if err != nil {
		return errors.Wrap(err, "write results")
	}

	return r.writeRunTimes(out)
}

// writeRunTimes writes how many runs took no longer than predicted.
func (r *Result) writeRunTimes(out io.Writer) error {
	for i := range r.Classes {
		class := &r.Classes[i]
		times := &class.RunTimes
		if times.Predicted == 0 {
			continue
		}
		share := func(count int) float64 { return float64(count) / float64(times.Predicted) }
		if _, err := fmt.Fprintf(out, "run times of %s: %d runs, %d of them predicted, %.3f within the median, %.3f within the 0.9 quantile; %d censored\n",
			class.Name, times.Done, times.Predicted, share(times.WithinMedian), share(times.WithinHigh), times.Censored); err != nil {
			return errors.Wrap(err, "write results")
		}
	}

	return nil
}

// writeRefusals writes what became of the jobs of hot accounts, and why jobs were refused.
func (r *Result) writeRefusals(out io.Writer) error {
	for i := range r.Classes {
		class := &r.Classes[i]
		if class.Hot == 0 {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s of hot accounts: %d jobs, %d refused, %d in time or late\n", class.Name, class.Hot, class.HotRefused, class.HotUseful); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		if _, err := fmt.Fprintf(out, "refused, %s: %d\n", reason, r.Refusals[reason]); err != nil {
			return errors.Wrap(err, "write results")
		}
	}

	return nil
}

func (r *ClassResult) lackedText() string {
	names := make([]string, 0, len(r.Lacked))
	for name := range r.Lacked {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(r.Lacked[b] - r.Lacked[a]) })
	for i, name := range names {
		names[i] = name + " " + seconds(r.Lacked[name])
	}

	return strings.Join(names, ", ")
}

func (r *ClassResult) widthText() string {
	var parts []string
	for _, w := range r.Widths {
		if w.Jobs > 0 {
			parts = append(parts, fmt.Sprintf("%d: %d/%d", w.Most, w.InTime, w.Jobs))
		}
	}

	return strings.Join(parts, ", ")
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
