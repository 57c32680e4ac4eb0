package supervisor

import (
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/elector"
)

// assignment is the assignment of the platform's endpoints to partitions. It is
// computed once for all runners, and the partition of a rack once for each
// configuration, because hashing 18,000 endpoints for every partition would use
// a large part of a processor core.
type assignment struct {
	mu         sync.Mutex
	computedAt time.Time
	offset     modeler.Offset
	racks      map[rackKey]modeler.PartitionID
	endpoints  map[modeler.PartitionID][]modeler.Instance
}

// rackKey identifies a rack, or an endpoint that has no rack.
type rackKey struct {
	region, name string
	endpoint     modeler.InstanceID
}

// endpointsOf returns the endpoints of a partition. Callers must not modify the
// slice.
func (s *Supervisor) endpointsOf(partition modeler.PartitionID) []modeler.Instance {
	doc, offset, ok := s.settings.Configuration.InForce()
	if !ok {
		return nil
	}
	a := &s.assignment
	a.mu.Lock()
	defer a.mu.Unlock()
	now := s.settings.Clock()
	if a.racks == nil || a.offset != offset {
		a.racks, a.offset, a.computedAt = map[rackKey]modeler.PartitionID{}, offset, time.Time{}
	}
	if a.computedAt.IsZero() || now.Sub(a.computedAt) >= reconcileInterval/2 {
		a.computedAt = now
		a.assign(doc, s.settings.Membership.Endpoints())
	}

	return a.endpoints[partition]
}

// assign assigns the endpoints to partitions. The caller holds the lock.
func (a *assignment) assign(doc modeler.Document, instances []modeler.Instance) {
	a.endpoints = make(map[modeler.PartitionID][]modeler.Instance, len(doc.Partitions))
	for _, instance := range instances {
		key := rackKey{region: instance.Region, name: instance.Rack}
		if key.name == "" {
			key.endpoint = instance.ID
		}
		name, known := a.racks[key]
		if !known {
			name = elector.PartitionOf(doc, instance)
			a.racks[key] = name
		}
		if name != "" {
			a.endpoints[name] = append(a.endpoints[name], instance)
		}
	}
}
