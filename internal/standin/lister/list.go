// Package lister stands in for the platform's lagging list of instances.
package lister

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// change is an edit of the list that becomes visible after the lag.
type change struct {
	at       time.Time
	instance modeler.Instance
	remove   bool
}

// List shows the state that it was told some time ago.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[modeler.InstanceID]modeler.Instance
	pending []change
}

// New returns an empty list that lags by lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, visible: make(map[modeler.InstanceID]modeler.Instance)}
}

// SetLag changes the lag; it applies to pending changes too.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds or replaces instances.
func (l *List) Put(now time.Time, instances ...modeler.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, instance := range instances {
		l.pending = append(l.pending, change{at: now, instance: instance})
	}
}

// Remove removes an instance.
func (l *List) Remove(now time.Time, id modeler.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, change{at: now, instance: modeler.Instance{ID: id}, remove: true})
}

// Instances returns the visible instances in the order of their ids.
func (l *List) Instances(now time.Time) []modeler.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.Add(l.lag).After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.remove {
			delete(l.visible, c.instance.ID)

			continue
		}
		l.visible[c.instance.ID] = c.instance
	}
	instances := make([]modeler.Instance, 0, len(l.visible))
	for _, instance := range l.visible {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b modeler.Instance) int { return cmp.Compare(a.ID, b.ID) })

	return instances
}
