package modeler

import (
	"slices"
	"time"
)

// Document is a complete configuration: the base file merged with the overlay of one
// site or of all sites, as published in the stream "config".
type Document struct {
	Cell       string      `json:"cell"`
	Partitions []Partition `json:"partitions"`
	Teams      []Team      `json:"teams"`
	Queues     []Queue     `json:"queues"`
	Services   []Service   `json:"services,omitempty"`
	Jobs       []Template  `json:"jobs,omitempty"`
	// Operators may read and publish the configuration. If there are none, neither
	// requires a key.
	Operators []Operator `json:"operators,omitempty"`
}

// Partition groups endpoints of a region under one owner.
type Partition struct {
	Name   PartitionID `json:"name"`
	Region string      `json:"region"`
	// Weight determines the part of every team's limit that the partition holds
	// before any transfer.
	Weight int64 `json:"weight"`
	// Services lists the services of the partition's executors; nil means all, and
	// an empty list none. It determines the home partition of a non-idempotent call.
	Services []string `json:"services,omitzero"`
}

// Serves reports whether the partition's executors answer a service.
func (p Partition) Serves(service string) bool {
	return p.Services == nil || slices.Contains(p.Services, service)
}

// Team is a tenant: work is submitted, limited and recorded by team.
type Team struct {
	Name TeamID `json:"name"`
	// Share is the weight of the team's fair share while the cell is full.
	Share int64 `json:"share"`
	// Limit bounds the resources of the team's running work in all partitions.
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

// Key authenticates a team or an operator. Only a digest of its secret is stored.
type Key struct {
	Name string `json:"name"`
	// Digest is the SHA-256 of the secret in lower-case hexadecimal.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Queue accepts work of one kind and class.
type Queue struct {
	Name  QueueID  `json:"name"`
	Kind  WorkKind `json:"kind"`
	Class Class    `json:"class"`
	// Open admits work without a key on behalf of Team.
	Open bool `json:"open,omitempty"`
	// Team is the team to which work of an open queue is charged.
	Team TeamID `json:"team,omitempty"`
	// Teams restricts the queue; empty admits every team.
	Teams []TeamID `json:"teams,omitempty"`
	// Depth bounds the queued jobs of a team on this queue; zero means 10,000.
	Depth int `json:"depth,omitempty"`
	// Attempts bounds the starts of a task; zero means 3.
	Attempts int `json:"attempts,omitempty"`
	// Within is the time after acceptance in which a job that sets no deadline must
	// finish; zero means no deadline.
	Within time.Duration `json:"within,omitempty"`
	// Objective is the service level objective of the burn report.
	Objective Objective `json:"objective,omitzero"`
}

// Objective is a service level objective: the fraction Target of jobs or calls must
// start within Wait.
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
