package parser

import (
	"fmt"
	"regexp"
	"time"

	"github.com/goccy/go-yaml/ast"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// File is a parsed base file or overlay.
type File struct {
	Path string
	// Site is the region that an overlay is for; unset in a base file.
	Site       Field[string]
	Cell       Field[string]
	Partitions []Partition
	Teams      []Team
	Queues     []Queue
	Services   []Service
	Jobs       []Job
	Operators  []Operator
}

// Partition is an entry of the list partitions.
type Partition struct {
	Name, Region Field[string]
	Weight       Field[int64]
	Services     Field[[]string]
}

// Team is an entry of the list teams.
type Team struct {
	Name  Field[string]
	Share Field[int64]
	Limit Amount
	Keys  []Key
}

// Operator is an entry of the list operators.
type Operator struct {
	Name Field[string]
	Keys []Key
}

// Key is an entry of the list keys of a team or an operator.
type Key struct {
	Name, Digest Field[string]
	Withdrawn    Field[bool]
}

// Amount is a set of resources.
type Amount struct {
	Millis, Memory, Accelerators, Slots Field[int64]
}

// Queue is an entry of the list queues.
type Queue struct {
	Name, Kind, Class, Team Field[string]
	Open                    Field[bool]
	Teams                   Field[[]string]
	Depth, Attempts         Field[int64]
	Within                  Field[time.Duration]
	Wait                    Field[time.Duration]
	Target                  Field[float64]
}

// Service is an entry of the list services.
type Service struct {
	Name, Queue Field[string]
	Idempotent  Field[bool]
	Timeout     Field[time.Duration]
}

// Job is an entry of the list jobs.
type Job struct {
	Name, Team, Queue Field[string]
	Tasks             Field[int64]
	Needs             Amount
	Runtime           Field[time.Duration]
	Deadline          Field[modeler.Deadline]
	Rack, Once        Field[bool]
	Command           Field[[]string]
}

// nameField is the field that identifies an entry of every list.
const nameField = "name"

var digestForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

// readTop reads the top level of a file.
func (r *reader) readTop(node ast.Node) File {
	file := File{Path: r.file}
	entries := []entry{
		{name: "cell", read: value(r, &file.Cell, label), need: true, fixed: true},
		{name: "partitions", need: true, read: items(r, &file.Partitions, "partition", r.readPartition,
			func(p Partition) Field[string] { return p.Name })},
		{name: "teams", need: true, read: items(r, &file.Teams, "team", r.readTeam,
			func(t Team) Field[string] { return t.Name })},
		{name: "queues", need: true, read: items(r, &file.Queues, "queue", r.readQueue,
			func(q Queue) Field[string] { return q.Name })},
		{name: "services", read: items(r, &file.Services, "service", r.readService,
			func(s Service) Field[string] { return s.Name })},
		{name: "jobs", read: items(r, &file.Jobs, "job", r.readJob,
			func(j Job) Field[string] { return j.Name })},
		{name: "operators", read: items(r, &file.Operators, "operator", r.readOperator,
			func(o Operator) Field[string] { return o.Name })},
	}
	if r.overlay {
		entries = append(entries, entry{name: "site", read: value(r, &file.Site, label)})
	}
	r.mapping(node, "the file", entries)
	if r.overlay && !file.Site.Set {
		r.failf(r.at(node), "an overlay needs the field \"site\"")
	}

	return file
}

// readPartition reads an entry of partitions.
func (r *reader) readPartition(node ast.Node) (p Partition) {
	r.mapping(node, "a partition", []entry{
		{name: nameField, read: value(r, &p.Name, label), need: true},
		{name: "region", read: value(r, &p.Region, label), need: true, fixed: true},
		{name: "weight", read: value(r, &p.Weight, integer(1, 1000))},
		{name: "services", read: values(r, &p.Services, "services", label), fixed: true},
	})

	return p
}

// readTeam reads an entry of teams.
func (r *reader) readTeam(node ast.Node) (t Team) {
	r.mapping(node, "a team", []entry{
		{name: nameField, read: value(r, &t.Name, label), need: true},
		{name: "share", read: value(r, &t.Share, integer(1, 1_000_000)), need: true},
		{name: "limit", read: r.readAmount(&t.Limit, "a limit"), need: true},
		{name: "keys", read: items(r, &t.Keys, "key", r.readKey, func(k Key) Field[string] { return k.Name })},
	})

	return t
}

// readOperator reads an entry of operators.
func (r *reader) readOperator(node ast.Node) (o Operator) {
	r.mapping(node, "an operator", []entry{
		{name: nameField, read: value(r, &o.Name, label), need: true},
		{name: "keys", need: true, read: items(r, &o.Keys, "key", r.readKey,
			func(k Key) Field[string] { return k.Name })},
	})

	return o
}

// readKey reads an entry of keys.
func (r *reader) readKey(node ast.Node) (k Key) {
	r.mapping(node, "a key", []entry{
		{name: nameField, read: value(r, &k.Name, label), need: true},
		{name: "digest", read: value(r, &k.Digest, digest), need: true, fixed: true},
		{name: "withdrawn", read: value(r, &k.Withdrawn, truth)},
	})

	return k
}

// digest accepts a SHA-256 digest.
func digest(text string) (string, error) {
	if !digestForm.MatchString(text) {
		return "", fmt.Errorf("a digest is 64 lower-case hexadecimal digits; make one with \"greengagewall key new\"")
	}

	return text, nil
}

// readAmount returns a function that reads a set of resources.
func (r *reader) readAmount(a *Amount, what string) func(ast.Node) {
	return func(node ast.Node) {
		r.mapping(node, what, []entry{
			{name: "processors", read: value(r, &a.Millis, ParseProcessors)},
			{name: "memory", read: value(r, &a.Memory, ParseMemory)},
			{name: "accelerators", read: value(r, &a.Accelerators, integer(0, maxCount))},
			{name: "slots", read: value(r, &a.Slots, integer(0, maxCount))},
		})
	}
}

// readQueue reads an entry of queues.
func (r *reader) readQueue(node ast.Node) (q Queue) {
	r.mapping(node, "a queue", []entry{
		{name: nameField, read: value(r, &q.Name, label), need: true},
		{name: "kind", need: true, fixed: true, read: value(r, &q.Kind,
			oneOf(string(modeler.WorkService), string(modeler.WorkBatch), string(modeler.WorkGang)))},
		{name: "class", need: true, read: value(r, &q.Class,
			oneOf(string(modeler.ClassUrgent), string(modeler.ClassStandard), string(modeler.ClassDeferred)))},
		{name: "open", read: value(r, &q.Open, truth)},
		{name: "team", read: value(r, &q.Team, label)},
		{name: "teams", read: values(r, &q.Teams, "teams", label)},
		{name: "depth", read: value(r, &q.Depth, integer(1, 1_000_000))},
		{name: "attempts", read: value(r, &q.Attempts, integer(1, 100))},
		{name: "within", read: value(r, &q.Within, ParseDuration)},
		{name: "objective", read: func(node ast.Node) {
			r.mapping(node, "an objective", []entry{
				{name: "wait", read: value(r, &q.Wait, ParseDuration), need: true},
				{name: "target", read: value(r, &q.Target, fraction), need: true},
			})
		}},
	})

	return q
}

// readService reads an entry of services.
func (r *reader) readService(node ast.Node) (s Service) {
	r.mapping(node, "a service", []entry{
		{name: nameField, read: value(r, &s.Name, label), need: true},
		{name: "queue", read: value(r, &s.Queue, label), need: true, fixed: true},
		{name: "idempotent", read: value(r, &s.Idempotent, truth), need: true, fixed: true},
		{name: "timeout", read: value(r, &s.Timeout, ParseDuration), need: true},
	})

	return s
}

// readJob reads an entry of jobs.
func (r *reader) readJob(node ast.Node) (j Job) {
	r.mapping(node, "a job", []entry{
		{name: nameField, read: value(r, &j.Name, label), need: true},
		{name: "team", read: value(r, &j.Team, label), need: true, fixed: true},
		{name: "queue", read: value(r, &j.Queue, label), need: true, fixed: true},
		{name: "tasks", read: value(r, &j.Tasks, integer(1, 100_000))},
		{name: "needs", read: r.readAmount(&j.Needs, "an amount"), need: true},
		{name: "runtime", read: value(r, &j.Runtime, ParseDuration), need: true},
		{name: "deadline", read: value(r, &j.Deadline, ParseDeadline)},
		{name: "rack", read: value(r, &j.Rack, truth)},
		{name: "once", read: value(r, &j.Once, truth), fixed: true},
		{name: "command", read: values(r, &j.Command, "command", text)},
	})

	return j
}
