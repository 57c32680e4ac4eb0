// Package differ compares two documents field by field.
package differ

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Change is a field that differs between two documents. An entry that was added or
// removed is reported as a change of each of its fields.
type Change struct {
	// Path names the field, such as queues/lookups/depth.
	Path string `json:"path"`
	// Old and New are the values in the format of the base file. They are empty if
	// the field is not set.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change as a single line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}

	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Text formats changes for display, one per line.
func Text(changes []Change) string {
	if len(changes) == 0 {
		return "no changes\n"
	}
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = change.String() + "\n"
	}

	return strings.Join(lines, "")
}

// Diff returns the changes from one document to another, sorted by path. The order
// of entries is ignored. The result is never nil, so that its JSON is always a
// list.
func Diff(from, to modeler.Document) []Change {
	before, after := flatten(from), flatten(to)
	changes := []Change{}
	for path, old := range before {
		if next := after[path]; next != old {
			changes = append(changes, Change{Path: path, Old: old, New: next})
		}
	}
	for path, next := range after {
		if _, known := before[path]; !known {
			changes = append(changes, Change{Path: path, New: next})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })

	return changes
}

// Reinstated returns the paths of the keys that are withdrawn in from and not
// withdrawn in to. It includes keys that to does not contain, because they could
// be granted again by mistake.
func Reinstated(from, to modeler.Document) []string {
	withdrawn := map[string]bool{}
	eachKey(to, func(_ string, key modeler.Key) {
		if key.Withdrawn {
			withdrawn[key.Digest] = true
		}
	})
	var reinstated []string
	eachKey(from, func(path string, key modeler.Key) {
		if key.Withdrawn && !withdrawn[key.Digest] {
			reinstated = append(reinstated, path)
		}
	})

	return reinstated
}

// eachKey calls visit for each key of a team or an operator.
func eachKey(doc modeler.Document, visit func(path string, key modeler.Key)) {
	for _, team := range doc.Teams {
		for _, key := range team.Keys {
			visit("teams/"+string(team.Name)+"/keys/"+key.Name, key)
		}
	}
	for _, operator := range doc.Operators {
		for _, key := range operator.Keys {
			visit("operators/"+operator.Name+"/keys/"+key.Name, key)
		}
	}
}

// fields maps the paths of a document to their values.
type fields map[string]string

// put sets a field unless its value is empty.
func (f fields) put(path, value string) {
	if value != "" {
		f[path] = value
	}
}

// flatten returns all fields that are set in doc.
func flatten(doc modeler.Document) fields {
	f := fields{}
	f.put("cell", doc.Cell)
	for _, p := range doc.Partitions {
		path := "partitions/" + string(p.Name)
		f.put(path+"/region", p.Region)
		f.put(path+"/weight", strconv.FormatInt(p.Weight, 10))
		if p.Services != nil {
			f.put(path+"/services", "["+strings.Join(slices.Sorted(slices.Values(p.Services)), ", ")+"]")
		}
	}
	for _, t := range doc.Teams {
		f.team("teams/"+string(t.Name), t)
	}
	for _, q := range doc.Queues {
		f.queue("queues/"+string(q.Name), q)
	}
	for _, s := range doc.Services {
		path := "services/" + s.Name
		f.put(path+"/queue", string(s.Queue))
		f.put(path+"/idempotent", strconv.FormatBool(s.Idempotent))
		f.put(path+"/timeout", parser.FormatDuration(s.Timeout))
	}
	for _, j := range doc.Jobs {
		f.job("jobs/"+j.Name, j)
	}
	eachKey(doc, func(path string, key modeler.Key) {
		f.put(path+"/digest", key.Digest)
		f.flag(path+"/withdrawn", key.Withdrawn)
	})

	return f
}

// team adds the fields of a team.
func (f fields) team(path string, t modeler.Team) {
	f.put(path+"/share", strconv.FormatInt(t.Share, 10))
	f.amount(path+"/limit", t.Limit)
}

// queue adds the fields of a queue.
func (f fields) queue(path string, q modeler.Queue) {
	f.put(path+"/kind", string(q.Kind))
	f.put(path+"/class", string(q.Class))
	f.flag(path+"/open", q.Open)
	f.put(path+"/team", string(q.Team))
	names := make([]string, len(q.Teams))
	for i, name := range q.Teams {
		names[i] = string(name)
	}
	slices.Sort(names)
	f.put(path+"/teams", strings.Join(names, ", "))
	f.count(path+"/depth", int64(q.Depth))
	f.count(path+"/attempts", int64(q.Attempts))
	f.duration(path+"/within", q.Within)
	f.duration(path+"/objective/wait", q.Objective.Wait)
	if q.Objective.Target != 0 {
		f.put(path+"/objective/target", strconv.FormatFloat(q.Objective.Target, 'f', -1, 64))
	}
}

// job adds the fields of a declared job.
func (f fields) job(path string, j modeler.Template) {
	f.put(path+"/team", string(j.Team))
	f.put(path+"/queue", string(j.Queue))
	f.count(path+"/tasks", int64(j.Tasks))
	f.amount(path+"/needs", j.Needs)
	f.duration(path+"/runtime", j.Runtime)
	f.put(path+"/deadline", parser.FormatDeadline(j.Deadline))
	f.flag(path+"/rack", j.Rack)
	f.flag(path+"/once", j.Once)
	if len(j.Command) > 0 {
		f.put(path+"/command", fmt.Sprintf("%q", j.Command))
	}
}

// amount adds the resources that are not zero.
func (f fields) amount(path string, r modeler.Resources) {
	if r.Millis != 0 {
		f.put(path+"/processors", parser.FormatProcessors(r.Millis))
	}
	if r.Memory != 0 {
		f.put(path+"/memory", parser.FormatMemory(r.Memory))
	}
	f.count(path+"/accelerators", r.Accelerators)
	f.count(path+"/slots", r.Slots)
}

// count adds a number if it is not zero.
func (f fields) count(path string, number int64) {
	if number != 0 {
		f.put(path, strconv.FormatInt(number, 10))
	}
}

// duration adds a duration if it is not zero.
func (f fields) duration(path string, d time.Duration) {
	if d != 0 {
		f.put(path, parser.FormatDuration(d))
	}
}

// flag adds a flag if it is set.
func (f fields) flag(path string, set bool) {
	if set {
		f.put(path, "true")
	}
}
