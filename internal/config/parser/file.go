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
	// Site is the region that the overlay applies to. It is unset in a base file.
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

// Amount is a set of resources. Millis is in thousandths of a processor, Memory in
// bytes.
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

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// readTopLevel reads the top-level mapping of a file.
func (r *reader) readTopLevel(node ast.Node) File {
	file := File{Path: r.file}
	specs := []fieldSpec{
		{name: "cell", read: readScalar(r, &file.Cell, parseName), required: true, baseOnly: true},
		{name: "partitions", required: true, read: readItems(r, &file.Partitions, "partition", r.readPartition,
			func(p Partition) Field[string] { return p.Name })},
		{name: "teams", required: true, read: readItems(r, &file.Teams, "team", r.readTeam,
			func(t Team) Field[string] { return t.Name })},
		{name: "queues", required: true, read: readItems(r, &file.Queues, "queue", r.readQueue,
			func(q Queue) Field[string] { return q.Name })},
		{name: "services", read: readItems(r, &file.Services, "service", r.readService,
			func(s Service) Field[string] { return s.Name })},
		{name: "jobs", read: readItems(r, &file.Jobs, "job", r.readJob,
			func(j Job) Field[string] { return j.Name })},
		{name: "operators", read: readItems(r, &file.Operators, "operator", r.readOperator,
			func(o Operator) Field[string] { return o.Name })},
	}
	if r.overlay {
		specs = append(specs, fieldSpec{name: "site", read: readScalar(r, &file.Site, parseName)})
	}
	r.readMapping(node, "the file", specs)
	if r.overlay && !file.Site.Set {
		r.failf(r.at(node), "an overlay needs the field \"site\"")
	}

	return file
}

// readPartition reads an entry of partitions.
func (r *reader) readPartition(node ast.Node) (p Partition) {
	r.readMapping(node, "a partition", []fieldSpec{
		{name: nameField, read: readScalar(r, &p.Name, parseName), required: true},
		{name: "region", read: readScalar(r, &p.Region, parseName), required: true, baseOnly: true},
		{name: "weight", read: readScalar(r, &p.Weight, integerBetween(1, 1000))},
		{name: "services", read: readScalars(r, &p.Services, "services", parseName), baseOnly: true},
	})

	return p
}

// readTeam reads an entry of teams.
func (r *reader) readTeam(node ast.Node) (t Team) {
	r.readMapping(node, "a team", []fieldSpec{
		{name: nameField, read: readScalar(r, &t.Name, parseName), required: true},
		{name: "share", read: readScalar(r, &t.Share, integerBetween(1, 1_000_000)), required: true},
		{name: "limit", read: r.readAmount(&t.Limit, "a limit"), required: true},
		{name: "keys", read: readItems(r, &t.Keys, "key", r.readKey, func(k Key) Field[string] { return k.Name })},
	})

	return t
}

// readOperator reads an entry of operators.
func (r *reader) readOperator(node ast.Node) (o Operator) {
	r.readMapping(node, "an operator", []fieldSpec{
		{name: nameField, read: readScalar(r, &o.Name, parseName), required: true},
		{name: "keys", required: true, read: readItems(r, &o.Keys, "key", r.readKey,
			func(k Key) Field[string] { return k.Name })},
	})

	return o
}

// readKey reads an entry of keys.
func (r *reader) readKey(node ast.Node) (k Key) {
	r.readMapping(node, "a key", []fieldSpec{
		{name: nameField, read: readScalar(r, &k.Name, parseName), required: true},
		{name: "digest", read: readScalar(r, &k.Digest, parseDigest), required: true, baseOnly: true},
		{name: "withdrawn", read: readScalar(r, &k.Withdrawn, parseBool)},
	})

	return k
}

// parseDigest accepts a SHA-256 digest in lower-case hexadecimal.
func parseDigest(text string) (string, error) {
	if !digestPattern.MatchString(text) {
		return "", fmt.Errorf("a digest is 64 lower-case hexadecimal digits; make one with \"greengagewall key new\"")
	}

	return text, nil
}

// readAmount returns a function that reads a set of resources into a.
func (r *reader) readAmount(a *Amount, what string) func(ast.Node) {
	return func(node ast.Node) {
		r.readMapping(node, what, []fieldSpec{
			{name: "processors", read: readScalar(r, &a.Millis, ParseProcessors)},
			{name: "memory", read: readScalar(r, &a.Memory, ParseMemory)},
			{name: "accelerators", read: readScalar(r, &a.Accelerators, integerBetween(0, maxCount))},
			{name: "slots", read: readScalar(r, &a.Slots, integerBetween(0, maxCount))},
		})
	}
}

// readQueue reads an entry of queues.
func (r *reader) readQueue(node ast.Node) (q Queue) {
	r.readMapping(node, "a queue", []fieldSpec{
		{name: nameField, read: readScalar(r, &q.Name, parseName), required: true},
		{name: "kind", required: true, baseOnly: true, read: readScalar(r, &q.Kind,
			oneOf(string(modeler.WorkService), string(modeler.WorkBatch), string(modeler.WorkGang)))},
		{name: "class", required: true, read: readScalar(r, &q.Class,
			oneOf(string(modeler.ClassUrgent), string(modeler.ClassStandard), string(modeler.ClassDeferred)))},
		{name: "open", read: readScalar(r, &q.Open, parseBool)},
		{name: "team", read: readScalar(r, &q.Team, parseName)},
		{name: "teams", read: readScalars(r, &q.Teams, "teams", parseName)},
		{name: "depth", read: readScalar(r, &q.Depth, integerBetween(1, 1_000_000))},
		{name: "attempts", read: readScalar(r, &q.Attempts, integerBetween(1, 100))},
		{name: "within", read: readScalar(r, &q.Within, ParseDuration)},
		{name: "objective", read: func(node ast.Node) {
			r.readMapping(node, "an objective", []fieldSpec{
				{name: "wait", read: readScalar(r, &q.Wait, ParseDuration), required: true},
				{name: "target", read: readScalar(r, &q.Target, parseFraction), required: true},
			})
		}},
	})

	return q
}

// readService reads an entry of services.
func (r *reader) readService(node ast.Node) (s Service) {
	r.readMapping(node, "a service", []fieldSpec{
		{name: nameField, read: readScalar(r, &s.Name, parseName), required: true},
		{name: "queue", read: readScalar(r, &s.Queue, parseName), required: true, baseOnly: true},
		{name: "idempotent", read: readScalar(r, &s.Idempotent, parseBool), required: true, baseOnly: true},
		{name: "timeout", read: readScalar(r, &s.Timeout, ParseDuration), required: true},
	})

	return s
}

// readJob reads an entry of jobs.
func (r *reader) readJob(node ast.Node) (j Job) {
	r.readMapping(node, "a job", []fieldSpec{
		{name: nameField, read: readScalar(r, &j.Name, parseName), required: true},
		{name: "team", read: readScalar(r, &j.Team, parseName), required: true, baseOnly: true},
		{name: "queue", read: readScalar(r, &j.Queue, parseName), required: true, baseOnly: true},
		{name: "tasks", read: readScalar(r, &j.Tasks, integerBetween(1, 100_000))},
		{name: "needs", read: r.readAmount(&j.Needs, "an amount"), required: true},
		{name: "runtime", read: readScalar(r, &j.Runtime, ParseDuration), required: true},
		{name: "deadline", read: readScalar(r, &j.Deadline, ParseDeadline)},
		{name: "rack", read: readScalar(r, &j.Rack, parseBool)},
		{name: "once", read: readScalar(r, &j.Once, parseBool), baseOnly: true},
		{name: "command", read: readScalars(r, &j.Command, "command", anyText)},
	})

	return j
}
