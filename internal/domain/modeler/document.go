package modeler

import (
	"slices"
	"time"
)

// Document is a whole configuration: the base file with one site's overlay or
// all sites' overlays merged, as it is published in the stream "config".
type Document struct {
	Cell       string      `json:"cell"`
	Partitions []Partition `json:"partitions"`
	Teams      []Team      `json:"teams"`
	Queues     []Queue     `json:"queues"`
	Services   []Service   `json:"services,omitempty"`
	Jobs       []Template  `json:"jobs,omitempty"`
	// Operators may read and publish the configuration. Without any, no key is
	// needed for either.
	Operators []Operator `json:"operators,omitempty"`
}

// Partition groups endpoints of a region under one owner.
type Partition struct {
	Name   PartitionID `json:"name"`
	Region string      `json:"region"`
	// Weight sets the part of every team's upper limit that the partition
	// holds before any transfer.
	Weight int64 `json:"weight"`
	// Services lists the services that the executors of the partition answer;
	// nil means all, and an empty list none. It decides which partition is the
	// home of a non-idempotent call.
	Services []string `json:"services,omitzero"`
}

// Serves reports whether the partition lists a service.
func (p Partition) Serves(service string) bool {
	return p.Services == nil || slices.Contains(p.Services, service)
}

// Team is an owner of work.
type Team struct {
	Name TeamID `json:"name"`
	// Share is the weight of the team when the cell is full.
	Share int64 `json:"share"`
	// Limit is the most that the team may have running across the fleet.
	Limit Resources `json:"limit"`
	Keys  []Key     `json:"keys,omitempty"`
}

// Operator is a person or program that publishes configurations.
type Operator struct {
	Name string `json:"name"`
	Keys []Key  `json:"keys,omitempty"`
}

// Usable reports whether the operator has a key that is not withdrawn.
func (o Operator) Usable() bool {
	return slices.ContainsFunc(o.Keys, func(k Key) bool { return !k.Withdrawn })
}

// Key admits a team's work or an operator's publications. Only the digest of the secret is stored.
type Key struct {
	Name string `json:"name"`
	// Digest is the SHA-256 of the secret in lower-case hexadecimal.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Queue takes work of one kind and class.
type Queue struct {
	Name  QueueID  `json:"name"`
	Kind  WorkKind `json:"kind"`
	Class Class    `json:"class"`
	// Open admits work without a key, in the name of Team.
	Open bool `json:"open,omitempty"`
	// Team is the team that work of an open queue is charged to.
	Team TeamID `json:"team,omitempty"`
	// Teams restricts the queue; empty admits every team.
	Teams []TeamID `json:"teams,omitempty"`
	// Depth bounds the queued jobs of a team on this queue; zero means 10,000.
	Depth int `json:"depth,omitempty"`
	// Attempts bounds the starts of a task; zero means 3.
	Attempts int `json:"attempts,omitempty"`
	// Within is how long after acceptance a job without a deadline of its own
	// must be finished; zero means no deadline.
	Within time.Duration `json:"within,omitempty"`
	// Objective is the service level that the burn report measures against.
	Objective Objective `json:"objective,omitzero"`
}

// Objective is a service level: the fraction of jobs or calls that must start
// within Wait.
type Objective struct {
	Wait   time.Duration `json:"wait,omitempty"`
	Target float64       `json:"target,omitempty"`
}

// Service is a kind of call that executors answer.
type Service struct {
	Name       string  `json:"name"`
	Queue      QueueID `json:"queue"`
	Idempotent bool    `json:"idempotent"`
	// Timeout bounds one call, retries included.
	Timeout time.Duration `json:"timeout"`
}
