package worker

import (
	"sync"
	"time"
)

// lease ends a task or a call when renewals stop. A start begins only the lease
// of the started task or call; a renewal renews the leases of all of them.
type lease struct {
	renewed time.Time
	timer   *time.Timer
}

// newLease returns a lease that calls end, with lock held, when it has not been
// renewed for taskLease.
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

// renew extends the lease; the caller holds the lock.
func (l *lease) renew(now time.Time) {
	l.renewed = now
	l.timer.Reset(taskLease)
}

func (l *lease) stop() { l.timer.Stop() }
