// Package forwarder forwards commands between entry instances over gRPC. The
// protocol is defined in peer.proto; payloads are encoded as MessagePack.
package forwarder

import (
	"net/netip"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Directory finds the gRPC address of an entry instance.
type Directory interface {
	// Address reports false if the instance is not known.
	Address(id modeler.InstanceID) (netip.AddrPort, bool)
}

// Forwarder provides the commands of any entry instance, local or remote. It is
// safe for concurrent use.
type Forwarder struct {
	self      modeler.InstanceID
	local     modeler.Commands
	directory Directory
	pool      *Pool
	config    modeler.Configuration
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithLocal sets the id of this instance and its own commands, which are
// called without a connection.
func WithLocal(self modeler.InstanceID, local modeler.Commands) Option {
	return func(f *Forwarder) { f.self, f.local = self, local }
}

// WithDirectory sets the directory in which addresses are looked up.
func WithDirectory(directory Directory) Option {
	return func(f *Forwarder) { f.directory = directory }
}

// WithPool sets the connections to peers.
func WithPool(pool *Pool) Option { return func(f *Forwarder) { f.pool = pool } }

// WithConfiguration sets the configuration whose offset is sent with every
// command.
func WithConfiguration(config modeler.Configuration) Option {
	return func(f *Forwarder) { f.config = config }
}

// New returns a Forwarder; it needs the options WithDirectory and WithPool.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{}
	for _, opt := range opts {
		opt(f)
	}

	return f
}

// CommandsOf returns the commands of the entry instance id. It reports false if
// the address of id is not known or no client can be created; nothing has been
// sent then.
func (f *Forwarder) CommandsOf(id modeler.InstanceID) (modeler.Commands, bool) {
	if id == f.self && f.local != nil {
		return f.local, true
	}
	address, ok := f.directory.Address(id)
	if !ok {
		return nil, false
	}
	client, err := f.pool.Client(address)
	if err != nil {
		return nil, false
	}

	return &remote{owner: id, client: client, config: f.config}, true
}
