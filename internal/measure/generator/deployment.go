package generator

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// dayStart is the time at which streams begin, in the afternoon, so that a
// stream holds the end of a day, the night and the morning deadlines.
func dayStart() time.Time { return time.Date(2026, time.March, 2, 16, 0, 0, 0, time.UTC) }

// Deployments returns the measured deployments with streams made from seed.
func Deployments(seed uint64) []Deployment {
	return []Deployment{Forecast(seed), Certification(seed + 1), SixTeams(seed + 2)}
}

// Forecast returns 50 workers of 16 processors and 64 GB, ten of them with two
// accelerators: forecasts in bursts every quarter of an hour, services, all-at-
// once jobs, and overnight reanalyses with a morning deadline among batch work.
// The work takes about nine tenths of the processor time of the stream, so that
// the cluster is full for most of the night.
func Forecast(seed uint64) Deployment {
	const length = 15 * time.Hour
	m := newMaker("50 workers of 16 processors and 64 GB", seed, dayStart(), length)
	m.workers(50, 16, 64, 10)
	m.teams(0.6, 4, 2, 1, 1, 3, 3)
	forecast := shape{
		group: GroupUrgent, kind: modeler.WorkBatch, class: modeler.ClassUrgent, queue: "forecast", tasks: [2]int{4, 8},
		cores: []int64{2}, memory: [2]int64{4, 8}, runtime: 4 * time.Minute, spread: 0.4, declared: 1, off: 0.5,
	}
	for at := 5 * time.Minute; at < length-time.Hour; at += 15 * time.Minute {
		for range 6 + m.random.IntN(6) {
			m.add(forecast, m.random.IntN(5)/4, at+time.Duration(m.random.IntN(20))*time.Second, at+15*time.Minute)
		}
	}
	alert := forecast
	alert.tasks, alert.cores, alert.runtime, alert.queue = [2]int{1, 1}, []int64{1}, 30*time.Second, "alert"
	m.poisson(alert, []int{0, 1, 2, 3}, 0, length, 60)
	m.poisson(shape{
		group: GroupService, kind: modeler.WorkService, class: modeler.ClassStandard, queue: "lookup", tasks: [2]int{1, 3},
		cores: []int64{1, 2}, memory: [2]int64{1, 4}, runtime: 2 * time.Hour, spread: 0.5, declared: 1, off: 0.3,
	}, []int{1, 2, 3}, 0, length, 12)
	reanalysis := shape{
		group: GroupDeadline, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "reanalysis", tasks: [2]int{20, 60},
		cores: []int64{2, 4}, memory: [2]int64{4, 12}, runtime: 25 * time.Minute, spread: 0.5, declared: 0.6, off: 0.6,
	}
	for range 55 {
		at := 2*time.Hour + time.Duration(m.random.Int64N(int64(9*time.Hour)))
		m.add(reanalysis, []int{0, 4, 5}[m.random.IntN(3)], at, 12*time.Hour+time.Duration(m.random.IntN(90))*time.Minute)
	}
	m.background(250, []int{2, 3, 4, 5}, length, 1)
	m.failures(3)
	m.cancellations(GroupBatch, 7*time.Hour, 0.3)
	m.cancellations(GroupBatch, 11*time.Hour, 0.5)

	return m.done()
}

// background adds batch and all-at-once work. Hourly is the processor hours of
// batch work that arrive per hour; work of the night is a half more than by
// day. Size multiplies the processors of tasks.
func (m *maker) background(hourly float64, teams []int, length time.Duration, size int64) {
	batch := shape{
		group: GroupBatch, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "batch", tasks: [2]int{1, 20},
		cores: []int64{size, 2 * size, 2 * size, 4 * size}, memory: [2]int64{2 * size, 10 * size}, runtime: 10 * time.Minute, spread: 1, declared: 1, off: 0.8,
	}
	// A batch job has 10.5 tasks of 2.25 processors on average; the mean of the
	// run times is 1.28 times their median.
	each := 10.5 * 2.25 * float64(size) * 1.28 / 6
	m.poisson(batch, teams, 0, length, 0.6*hourly/each)
	m.poisson(batch, teams, 4*time.Hour, length, 0.2*hourly/each)
	deferred := batch
	deferred.class, deferred.queue = modeler.ClassDeferred, "deferred"
	m.poisson(deferred, teams, 0, length, 0.2*hourly/each)
	// One team submits a campaign of 1,500 processor hours for each unit of
	// size at midnight, ahead of much of the work with deadlines.
	campaign := batch
	campaign.queue, campaign.tasks, campaign.cores, campaign.runtime = "campaign", [2]int{100, 200}, []int64{2 * size}, 30*time.Minute
	for range 11 {
		m.add(campaign, teams[0], 8*time.Hour+time.Duration(m.random.IntN(1800))*time.Second, 0)
	}
	large := batch
	large.tasks, large.cores, large.memory, large.queue = [2]int{1, 2}, []int64{12 * size}, [2]int64{20 * size, 40 * size}, "large"
	m.poisson(large, teams, 0, length, 6)
	together := shape{
		group: GroupGang, kind: modeler.WorkGang, class: modeler.ClassStandard, queue: "gang", tasks: [2]int{8, 24},
		cores: []int64{4 * size}, memory: [2]int64{4 * size, 8 * size}, runtime: 30 * time.Minute, spread: 0.4, declared: 1, off: 0.5, sameRack: 0.5,
	}
	m.poisson(together, teams, 0, length, 2)
	if m.Total().Accelerators > 0 {
		together.tasks, together.accelerators, together.queue, together.sameRack = [2]int{2, 8}, 1, "train", 0
		m.poisson(together, teams, 0, length, 1)
	}
	never := large
	never.cores, never.queue = []int64{100 * size}, "never"
	m.poisson(never, teams, 0, length, 0.2)
}

// Ledger returns 50 workers of 64 processors and 256 GB: overnight
// certifications with a morning deadline, recall notices that run once, label
// checks, and batch work, in the same proportion to the cluster as in Forecast.
func Certification(seed uint64) Deployment {
	const length = 15 * time.Hour
	m := newMaker("50 workers of 64 processors and 256 GB", seed, dayStart(), length)
	m.workers(50, 64, 256, 0)
	m.teams(0.6, 4, 4, 2, 1, 1, 1)
	recall := shape{
		group: GroupUrgent, kind: modeler.WorkBatch, class: modeler.ClassUrgent, queue: "recall", tasks: [2]int{1, 2},
		cores: []int64{1, 2}, memory: [2]int64{1, 4}, runtime: 20 * time.Second, spread: 0.5, declared: 1, off: 0.5, once: true,
	}
	m.poisson(recall, []int{0, 1, 2, 3, 4, 5}, 0, length, 90)
	for range 8 {
		at := time.Duration(m.random.Int64N(int64(length - time.Hour)))
		for range 40 {
			m.add(recall, m.random.IntN(6), at+time.Duration(m.random.IntN(5000))*time.Millisecond, at+10*time.Minute)
		}
	}
	m.poisson(shape{
		group: GroupService, kind: modeler.WorkService, class: modeler.ClassStandard, queue: "label", tasks: [2]int{1, 4},
		cores: []int64{2, 4}, memory: [2]int64{2, 8}, runtime: 2 * time.Hour, spread: 0.5, declared: 1, off: 0.3,
	}, []int{1, 2, 3}, 0, length, 15)
	certification := shape{
		group: GroupDeadline, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "certification", tasks: [2]int{40, 120},
		cores: []int64{4, 8}, memory: [2]int64{8, 32}, runtime: 25 * time.Minute, spread: 0.5, declared: 0.6, off: 0.6,
	}
	for range 60 {
		at := 2*time.Hour + time.Duration(m.random.Int64N(int64(9*time.Hour)))
		m.add(certification, []int{0, 1, 2}[m.random.IntN(3)], at, 12*time.Hour+time.Duration(m.random.IntN(90))*time.Minute)
	}
	m.background(4*250, []int{1, 2, 3, 4, 5}, length, 4)
	m.failures(3)
	m.cancellations(GroupBatch, 8*time.Hour, 0.3)

	return m.done()
}

// Teams returns a cluster of the first size that six teams fill, two of them
// with work for more than the whole of it; the others come and go, so that
// capacity is lent and reclaimed.
func SixTeams(seed uint64) Deployment {
	const length = 8 * time.Hour
	m := newMaker("six teams, two of them large", seed, dayStart(), length)
	m.workers(50, 16, 64, 0)
	m.teams(0.9, 5, 4, 2, 1, 1, 1)
	work := shape{
		group: GroupBatch, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "batch", tasks: [2]int{5, 40},
		cores: []int64{1, 2, 4}, memory: [2]int64{2, 8}, runtime: 8 * time.Minute, spread: 0.8, declared: 1, off: 0.8,
	}
	long := work
	long.runtime, long.queue, long.tasks = time.Hour, "long", [2]int{5, 10}
	m.poisson(work, []int{0, 1}, 0, length, 160)
	m.poisson(long, []int{0, 1}, 0, length, 12)
	for team := 2; team < 6; team++ {
		for at := time.Duration(team) * 15 * time.Minute; at < length-time.Hour; at += 2 * time.Hour {
			m.poisson(work, []int{team}, at, at+time.Hour, 40)
			m.poisson(long, []int{team}, at, at+time.Hour, 3)
		}
	}
	urgent := work
	urgent.group, urgent.class, urgent.queue = GroupUrgent, modeler.ClassUrgent, "urgent"
	urgent.tasks, urgent.runtime = [2]int{1, 2}, time.Minute
	m.poisson(urgent, []int{0, 1, 2, 3, 4, 5}, 0, length, 30)

	return m.done()
}
