package modeler

import "net/netip"

// InstanceKind is the role of an instance.
type InstanceKind string

// The kinds of instance. Workers and executors are endpoints.
const (
	KindEntry    InstanceKind = "entry"
	KindWorker   InstanceKind = "worker"
	KindExecutor InstanceKind = "executor"
)

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// The states of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID      InstanceID     `json:"id"`
	Kind    InstanceKind   `json:"kind"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack,omitempty"`
	Address netip.AddrPort `json:"address"`
	// Peer is the gRPC address of an entry instance.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Service is the only service that an executor runs; empty means all services.
	Service string        `json:"service,omitempty"`
	State   InstanceState `json:"state"`
}
