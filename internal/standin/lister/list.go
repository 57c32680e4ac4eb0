// Package lister simulates the platform's list of instances, which shows changes
// only after a lag.
package lister

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// change is a change of the list, which becomes visible one lag after the time at.
type change struct {
	at       time.Time
	instance modeler.Instance
	remove   bool
}

// List is a list of instances that shows its state of one lag ago.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[modeler.InstanceID]modeler.Instance
	pending []change
}

// New returns an empty list whose changes become visible after lag.
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

// Instances returns the visible instances, ordered by id.
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
