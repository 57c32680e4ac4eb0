package modeler

import "net/netip"

// InstanceKind tells what an instance is for.
type InstanceKind string

// The kinds of instance; worker and executor are endpoints.
const (
	KindEntry    InstanceKind = "entry"
	KindWorker   InstanceKind = "worker"
	KindExecutor InstanceKind = "executor"
)

// InstanceState is the state that the platform's list gives an instance.
type InstanceState string

// The states of an instance in the platform's list.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID      InstanceID     `json:"id"`
	Kind    InstanceKind   `json:"kind"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack,omitempty"`
	Address netip.AddrPort `json:"address"`
	// Peer is the gRPC address of an entry instance.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Service names the service that an executor runs; empty runs all.
	Service string        `json:"service,omitempty"`
	State   InstanceState `json:"state"`
}
