package connector

import (
	"context"
	"net/http"
	"net/netip"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Lister is the client of the platform's instance list.
type Lister struct {
	client  *client
	address netip.AddrPort
}

// NewLister returns a client of the instance list at address.
func NewLister(address netip.AddrPort, opts ...Option) messenger.Lister {
	return &Lister{client: newClient(opts), address: address}
}

// Instances implements messenger.Lister.
func (l *Lister) Instances(ctx context.Context) ([]modeler.Instance, error) {
	var instances []modeler.Instance
	err := l.client.do(ctx, http.MethodGet, l.address, "/v1/instances", nil, &instances)

	return instances, err
}
