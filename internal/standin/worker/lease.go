package worker

import (
	"sync"
	"time"
)

// lease ends a piece of work when renewals stop. A start begins the lease of
// its own work only; a renewal renews the leases of all work.
type lease struct {
	renewed time.Time
	timer   *time.Timer
}

// newLease calls end, with lock held, once the lease has not been renewed for
// taskLease.
func newLease(lock sync.Locker, end func()) *lease {
	l := &lease{renewed: time.Now()}
	l.timer = time.AfterFunc(taskLease, func() {
		lock.Lock()
		defer lock.Unlock()
		if time.Since(l.renewed) >= taskLease {
			end()
		}
	})

	return l
}

// renew is called with the lock held.
func (l *lease) renew(now time.Time) {
	l.renewed = now
	l.timer.Reset(taskLease)
}

func (l *lease) stop() { l.timer.Stop() }
