package disrupter

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
)

const (
	// burstInterval is the time from one burst to the next, by which a burst is over.
	burstInterval = 14 * time.Second
	// burstJobs is the number of jobs for each endpoint, and burstCount that of their tasks: together more than an
	// endpoint lists at a time. burstMillis is the need of a task, of which that many fit.
	burstJobs   = 10
	burstCount  = 60
	burstMillis = 26
	// burstLength is how long a task runs, and burstLead the time from the burst to the pause of the owner, during
	// which the tasks start. They end during burstPause, within the lease.
	burstLength = 3 * time.Second
	burstLead   = 2500 * time.Millisecond
	burstPause  = 3500 * time.Millisecond
)

// manyEnds lists the faults of MixManyEnds.
var manyEnds = []fault{{"pause owner while many runs end", func(i *faultInjector, _ time.Duration) {
	i.submitBurst()
	i.callAfter(burstLead, func() { i.pause(i.owner(), burstPause) })
}}}

// submitBurst submits as many short tasks at once as the endpoints hold.
func (i *faultInjector) submitBurst() {
	for n := range burstJobs * i.cluster.settings.Endpoints {
		job := newJob(i.random.Uint64(), executor.Work{
			Account: accountName, Spec: "burst", Count: burstCount, Attempts: maxAttempts, Length: burstLength,
			Need: modeler.Resources{Millis: burstMillis, Memory: 16 << 20},
		})
		i.clients.pending.Add(1)
		i.bursts.Go(func() { i.clients.run(context.Background(), job, mainKey, n, false, 0) })
	}
}
