// Package renderer formats a document as a base file.
package renderer

import (
	"bytes"
	"encoding/json"
	"regexp"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// file has the structure of a base file.
type file struct {
	Cell       string      `yaml:"cell"`
	Partitions []partition `yaml:"partitions"`
	Teams      []team      `yaml:"teams"`
	Queues     []queue     `yaml:"queues"`
	Services   []service   `yaml:"services,omitempty"`
	Jobs       []job       `yaml:"jobs,omitempty"`
	Operators  []operator  `yaml:"operators,omitempty"`
}

type partition struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	Weight int64  `yaml:"weight"`
	// Services is a pointer because an absent list means all services, and an empty
	// list none.
	Services *[]string `yaml:"services,omitempty,flow"`
}

type amount struct {
	Processors   quantity `yaml:"processors,omitempty"`
	Memory       quantity `yaml:"memory,omitempty"`
	Accelerators int64    `yaml:"accelerators,omitempty"`
	Slots        int64    `yaml:"slots,omitempty"`
}

type key struct {
	Name      string `yaml:"name"`
	Digest    string `yaml:"digest"`
	Withdrawn bool   `yaml:"withdrawn,omitempty"`
}

type team struct {
	Name  string `yaml:"name"`
	Share int64  `yaml:"share"`
	Limit amount `yaml:"limit,flow"`
	Keys  []key  `yaml:"keys,omitempty"`
}

type operator struct {
	Name string `yaml:"name"`
	Keys []key  `yaml:"keys"`
}

type objective struct {
	Wait   quantity `yaml:"wait"`
	Target float64  `yaml:"target"`
}

type queue struct {
	Name      string           `yaml:"name"`
	Kind      modeler.WorkKind `yaml:"kind"`
	Class     modeler.Class    `yaml:"class"`
	Open      bool             `yaml:"open,omitempty"`
	Team      modeler.TeamID   `yaml:"team,omitempty"`
	Teams     []modeler.TeamID `yaml:"teams,omitempty,flow"`
	Depth     int              `yaml:"depth,omitempty"`
	Attempts  int              `yaml:"attempts,omitempty"`
	Within    quantity         `yaml:"within,omitempty"`
	Objective *objective       `yaml:"objective,omitempty,flow"`
}

type service struct {
	Name       string          `yaml:"name"`
	Queue      modeler.QueueID `yaml:"queue"`
	Idempotent bool            `yaml:"idempotent"`
	Timeout    quantity        `yaml:"timeout"`
}

type job struct {
	Name     string          `yaml:"name"`
	Team     modeler.TeamID  `yaml:"team"`
	Queue    modeler.QueueID `yaml:"queue"`
	Tasks    int             `yaml:"tasks"`
	Needs    amount          `yaml:"needs,flow"`
	Runtime  quantity        `yaml:"runtime"`
	Deadline quantity        `yaml:"deadline,omitempty"`
	Rack     bool            `yaml:"rack,omitempty"`
	Once     bool            `yaml:"once,omitempty"`
	Command  []word          `yaml:"command,omitempty,flow"`
}

// quantity is text that is written without quotes.
type quantity string

// MarshalYAML implements yaml.BytesMarshaler.
func (q quantity) MarshalYAML() ([]byte, error) { return []byte(q), nil }

// plainWord matches words that YAML always reads as text, except for reservedWords.
var plainWord = regexp.MustCompile(`^(--)?[a-z][a-z0-9]*([-./][a-z0-9]+)*$`)

// reservedWords are words that some version of YAML does not read as text.
var reservedWords = []string{"true", "false", "null", "yes", "no", "on", "off", "y", "n"}

// word is arbitrary text. All but plain words are written as JSON strings, which
// are valid YAML: the library writes text with line breaks as a block, which is
// not allowed inside a list in flow style.
type word string

// MarshalYAML implements yaml.BytesMarshaler.
func (w word) MarshalYAML() ([]byte, error) {
	if plainWord.MatchString(string(w)) && !slices.Contains(reservedWords, string(w)) {
		return []byte(w), nil
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(string(w))

	return bytes.TrimSpace(out.Bytes()), errors.Wrap(err, "render word")
}

// Render formats doc as a base file. Parsing the result and merging it without
// overlays gives doc again.
func Render(doc modeler.Document) ([]byte, error) {
	out := file{Cell: doc.Cell}
	for _, p := range doc.Partitions {
		part := partition{Name: string(p.Name), Region: p.Region, Weight: p.Weight}
		if p.Services != nil {
			part.Services = &p.Services
		}
		out.Partitions = append(out.Partitions, part)
	}
	for _, t := range doc.Teams {
		out.Teams = append(out.Teams, renderTeam(t))
	}
	for _, q := range doc.Queues {
		out.Queues = append(out.Queues, renderQueue(q))
	}
	for _, s := range doc.Services {
		out.Services = append(out.Services, service{
			Name: s.Name, Queue: s.Queue, Idempotent: s.Idempotent, Timeout: quantity(parser.FormatDuration(s.Timeout)),
		})
	}
	for _, j := range doc.Jobs {
		out.Jobs = append(out.Jobs, renderJob(j))
	}
	for _, o := range doc.Operators {
		out.Operators = append(out.Operators, operator{Name: o.Name, Keys: renderKeys(o.Keys)})
	}
	data, err := yaml.MarshalWithOptions(out, yaml.IndentSequence(true))

	return data, errors.Wrap(err, "render configuration")
}

// renderAmount converts a set of resources.
func renderAmount(r modeler.Resources) amount {
	out := amount{Accelerators: r.Accelerators, Slots: r.Slots}
	if r.Millis > 0 {
		out.Processors = quantity(parser.FormatProcessors(r.Millis))
	}
	if r.Memory > 0 {
		out.Memory = quantity(parser.FormatMemory(r.Memory))
	}

	return out
}

// renderTeam converts a team and its keys.
func renderTeam(t modeler.Team) team {
	return team{Name: string(t.Name), Share: t.Share, Limit: renderAmount(t.Limit), Keys: renderKeys(t.Keys)}
}

// renderKeys converts the keys of a team or an operator.
func renderKeys(keys []modeler.Key) []key {
	out := make([]key, len(keys))
	for i, k := range keys {
		out[i] = key(k)
	}

	return out
}

// renderQueue converts a queue.
func renderQueue(q modeler.Queue) queue {
	out := queue{
		Name: string(q.Name), Kind: q.Kind, Class: q.Class, Open: q.Open, Team: q.Team, Teams: q.Teams,
		Depth: q.Depth, Attempts: q.Attempts,
	}
	if q.Within > 0 {
		out.Within = quantity(parser.FormatDuration(q.Within))
	}
	if q.Objective != (modeler.Objective{}) {
		out.Objective = &objective{Wait: quantity(parser.FormatDuration(q.Objective.Wait)), Target: q.Objective.Target}
	}

	return out
}

// renderJob converts a declared job.
func renderJob(j modeler.Template) job {
	command := make([]word, len(j.Command))
	for i, text := range j.Command {
		command[i] = word(text)
	}

	return job{
		Name: j.Name, Team: j.Team, Queue: j.Queue, Tasks: j.Tasks, Needs: renderAmount(j.Needs),
		Runtime: quantity(parser.FormatDuration(j.Runtime)), Deadline: quantity(parser.FormatDeadline(j.Deadline)),
		Rack: j.Rack, Once: j.Once, Command: command,
	}
}
