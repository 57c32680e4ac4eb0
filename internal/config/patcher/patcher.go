// Package patcher computes and applies the difference between two documents, so
// that a publication contains only the entries that changed.
package patcher

import (
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ErrMismatch means that a patch was made from another document.
var ErrMismatch = errors.New("patch does not belong to this document")

// Patch is the difference between a document and its successor.
type Patch struct {
	Cell       string                                            `msgpack:"c"`
	Partitions ListPatch[modeler.PartitionID, modeler.Partition] `msgpack:"p,omitempty"`
	Teams      ListPatch[modeler.TeamID, modeler.Team]           `msgpack:"t,omitempty"`
	Queues     ListPatch[modeler.QueueID, modeler.Queue]         `msgpack:"q,omitempty"`
	Services   ListPatch[string, modeler.Service]                `msgpack:"s,omitempty"`
	Jobs       ListPatch[string, modeler.Template]               `msgpack:"j,omitempty"`
	Operators  ListPatch[string, modeler.Operator]               `msgpack:"o,omitempty"`
}

// ListPatch is the difference between two lists of named entries.
type ListPatch[K comparable, E any] struct {
	// Set holds the entries that were added or changed.
	Set []E `msgpack:"s,omitempty"`
	// Order holds the names of all entries in their new order. It is empty if no
	// entry was added, removed or moved.
	Order []K `msgpack:"o,omitempty"`
	// Empty is true if all entries were removed.
	Empty bool `msgpack:"e,omitempty"`
}

func partitionName(p modeler.Partition) modeler.PartitionID { return p.Name }
func teamName(t modeler.Team) modeler.TeamID                { return t.Name }
func queueName(q modeler.Queue) modeler.QueueID             { return q.Name }
func serviceName(s modeler.Service) string                  { return s.Name }
func jobName(j modeler.Template) string                     { return j.Name }
func operatorName(o modeler.Operator) string                { return o.Name }

// Make returns the patch from one document to another. Names must be unique within
// each list.
func Make(from, to modeler.Document) Patch {
	return Patch{
		Cell:       to.Cell,
		Partitions: diffList(from.Partitions, to.Partitions, partitionName),
		Teams:      diffList(from.Teams, to.Teams, teamName),
		Queues:     diffList(from.Queues, to.Queues, queueName),
		Services:   diffList(from.Services, to.Services, serviceName),
		Jobs:       diffList(from.Jobs, to.Jobs, jobName),
		Operators:  diffList(from.Operators, to.Operators, operatorName),
	}
}

// Apply returns the result of applying patch to from. It returns ErrMismatch if the
// patch refers to an entry that neither from nor the patch contains.
func Apply(from modeler.Document, patch Patch) (modeler.Document, error) {
	to := modeler.Document{Cell: patch.Cell}
	var err error
	if to.Partitions, err = patchList(from.Partitions, patch.Partitions, partitionName); err != nil {
		return to, err
	}
	if to.Teams, err = patchList(from.Teams, patch.Teams, teamName); err != nil {
		return to, err
	}
	if to.Queues, err = patchList(from.Queues, patch.Queues, queueName); err != nil {
		return to, err
	}
	if to.Services, err = patchList(from.Services, patch.Services, serviceName); err != nil {
		return to, err
	}
	if to.Jobs, err = patchList(from.Jobs, patch.Jobs, jobName); err != nil {
		return to, err
	}
	to.Operators, err = patchList(from.Operators, patch.Operators, operatorName)

	return to, err
}

// diffList returns the difference between two lists.
func diffList[K comparable, E any](from, to []E, name func(E) K) ListPatch[K, E] {
	before := indexByName(from, name)
	var patch ListPatch[K, E]
	for _, entry := range to {
		if old, ok := before[name(entry)]; !ok || !reflect.DeepEqual(old, entry) {
			patch.Set = append(patch.Set, entry)
		}
	}
	patch.Empty = len(to) == 0 && len(from) > 0
	if !slices.Equal(names(from, name), names(to, name)) {
		patch.Order = names(to, name)
	}

	return patch
}

// patchList returns the result of applying patch to the list from.
func patchList[K comparable, E any](from []E, patch ListPatch[K, E], name func(E) K) ([]E, error) {
	if patch.Empty {
		return nil, nil
	}
	entries := indexByName(from, name)
	for _, entry := range patch.Set {
		entries[name(entry)] = entry
	}
	order := patch.Order
	if len(order) == 0 {
		order = names(from, name)
	}
	var to []E
	for _, key := range order {
		entry, ok := entries[key]
		if !ok {
			return nil, errors.Wrapf(ErrMismatch, "entry %v is missing", key)
		}
		to = append(to, entry)
	}

	return to, nil
}

// indexByName returns a map of entries by their names.
func indexByName[K comparable, E any](entries []E, name func(E) K) map[K]E {
	byName := make(map[K]E, len(entries))
	for _, entry := range entries {
		byName[name(entry)] = entry
	}

	return byName
}

func names[K comparable, E any](entries []E, name func(E) K) []K {
	all := make([]K, 0, len(entries))
	for _, entry := range entries {
		all = append(all, name(entry))
	}

	return all
}
