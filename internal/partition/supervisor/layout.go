package supervisor

import (
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/elector"
)

// layout is the division of the platform's endpoints among the partitions. It
// is computed once for all runners, and the partition of a rack once for each
// configuration, because hashing 18,000 endpoints for every partition would
// take a good part of a core.
type layout struct {
	mu        sync.Mutex
	at        time.Time
	config    modeler.Offset
	racks     map[rack]modeler.PartitionID
	endpoints map[modeler.PartitionID][]modeler.Instance
}

// rack identifies a rack, or an endpoint that has none.
type rack struct {
	region, name string
	endpoint     modeler.InstanceID
}

// endpointsOf returns the endpoints of a partition; callers only read them.
func (s *Supervisor) endpointsOf(partition modeler.PartitionID) []modeler.Instance {
	doc, offset, ok := s.set.Configuration.InForce()
	if !ok {
		return nil
	}
	l := &s.layout
	l.mu.Lock()
	defer l.mu.Unlock()
	now := s.set.Clock()
	if l.racks == nil || l.config != offset {
		l.racks, l.config, l.at = map[rack]modeler.PartitionID{}, offset, time.Time{}
	}
	if l.at.IsZero() || now.Sub(l.at) >= lookEvery/2 {
		l.at = now
		l.divide(doc, s.set.Membership.Endpoints())
	}

	return l.endpoints[partition]
}

// divide assigns the endpoints to partitions; the caller holds the lock.
func (l *layout) divide(doc modeler.Document, instances []modeler.Instance) {
	l.endpoints = make(map[modeler.PartitionID][]modeler.Instance, len(doc.Partitions))
	for _, instance := range instances {
		key := rack{region: instance.Region, name: instance.Rack}
		if key.name == "" {
			key.endpoint = instance.ID
		}
		name, known := l.racks[key]
		if !known {
			name = elector.PartitionOf(doc, instance)
			l.racks[key] = name
		}
		if name != "" {
			l.endpoints[name] = append(l.endpoints[name], instance)
		}
	}
}
