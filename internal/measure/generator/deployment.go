package generator

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// dayStart is the time at which workloads begin. It is in the afternoon, so that
// a workload includes the end of a day, the night and the morning deadlines.
func dayStart() time.Time { return time.Date(2026, time.March, 2, 16, 0, 0, 0, time.UTC) }

// Deployments returns the measured deployments with workloads generated from
// seed.
func Deployments(seed uint64) []Deployment {
	return []Deployment{Forecast(seed), Certification(seed + 1), SixTeams(seed + 2)}
}

// Forecast returns a deployment of 50 workers with 16 processors and 64 GB, ten
// of them with two accelerators. Its workload consists of forecasts in bursts
// every quarter of an hour, services, gang jobs, batch work, and overnight
// reanalyses with a morning deadline. It needs about nine tenths of the
// processor time, so that the cluster is full for most of the night.
func Forecast(seed uint64) Deployment {
	const length = 15 * time.Hour
	b := newBuilder("50 workers of 16 processors and 64 GB", seed, dayStart(), length)
	b.addWorkers(50, 16, 64, 10)
	b.addTeams(0.6, 4, 2, 1, 1, 3, 3)
	forecast := jobTemplate{
		group: GroupUrgent, kind: modeler.WorkBatch, class: modeler.ClassUrgent, queue: "forecast", taskRange: [2]int{4, 8},
		coreChoices: []int64{2}, memoryRange: [2]int64{4, 8}, runtime: 4 * time.Minute, runtimeDeviation: 0.4, declaredRatio: 1, declaredDeviation: 0.5,
	}
	for at := 5 * time.Minute; at < length-time.Hour; at += 15 * time.Minute {
		for range 6 + b.random.IntN(6) {
			b.addJob(forecast, b.random.IntN(5)/4, at+time.Duration(b.random.IntN(20))*time.Second, at+15*time.Minute)
		}
	}
	alert := forecast
	alert.taskRange, alert.coreChoices, alert.runtime, alert.queue = [2]int{1, 1}, []int64{1}, 30*time.Second, "alert"
	b.addPoisson(alert, []int{0, 1, 2, 3}, 0, length, 60)
	b.addPoisson(jobTemplate{
		group: GroupService, kind: modeler.WorkService, class: modeler.ClassStandard, queue: "lookup", taskRange: [2]int{1, 3},
		coreChoices: []int64{1, 2}, memoryRange: [2]int64{1, 4}, runtime: 2 * time.Hour, runtimeDeviation: 0.5, declaredRatio: 1, declaredDeviation: 0.3,
	}, []int{1, 2, 3}, 0, length, 12)
	reanalysis := jobTemplate{
		group: GroupDeadline, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "reanalysis", taskRange: [2]int{20, 60},
		coreChoices: []int64{2, 4}, memoryRange: [2]int64{4, 12}, runtime: 25 * time.Minute, runtimeDeviation: 0.5, declaredRatio: 0.6, declaredDeviation: 0.6,
	}
	for range 55 {
		at := 2*time.Hour + time.Duration(b.random.Int64N(int64(9*time.Hour)))
		b.addJob(reanalysis, []int{0, 4, 5}[b.random.IntN(3)], at, 12*time.Hour+time.Duration(b.random.IntN(90))*time.Minute)
	}
	b.addBackground(250, []int{2, 3, 4, 5}, length, 1)
	b.addFailures(3)
	b.addCancellations(GroupBatch, 7*time.Hour, 0.3)
	b.addCancellations(GroupBatch, 11*time.Hour, 0.5)

	return b.build()
}

// addBackground adds batch and gang work. hourly is the processor hours of batch
// work that arrive per hour; at night a half more arrives than by day. size
// multiplies the processors of tasks.
func (b *builder) addBackground(hourly float64, teams []int, length time.Duration, size int64) {
	batch := jobTemplate{
		group: GroupBatch, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "batch", taskRange: [2]int{1, 20},
		coreChoices: []int64{size, 2 * size, 2 * size, 4 * size}, memoryRange: [2]int64{2 * size, 10 * size}, runtime: 10 * time.Minute, runtimeDeviation: 1, declaredRatio: 1, declaredDeviation: 0.8,
	}
	// A batch job has 10.5 tasks of 2.25 processors on average. The mean of the
	// run times is 1.28 times their median.
	hoursPerJob := 10.5 * 2.25 * float64(size) * 1.28 / 6
	b.addPoisson(batch, teams, 0, length, 0.6*hourly/hoursPerJob)
	b.addPoisson(batch, teams, 4*time.Hour, length, 0.2*hourly/hoursPerJob)
	deferred := batch
	deferred.class, deferred.queue = modeler.ClassDeferred, "deferred"
	b.addPoisson(deferred, teams, 0, length, 0.2*hourly/hoursPerJob)
	// One team submits a campaign of 1,500 processor hours per unit of size at
	// midnight, before much of the work with deadlines arrives.
	campaign := batch
	campaign.queue, campaign.taskRange, campaign.coreChoices, campaign.runtime = "campaign", [2]int{100, 200}, []int64{2 * size}, 30*time.Minute
	for range 11 {
		b.addJob(campaign, teams[0], 8*time.Hour+time.Duration(b.random.IntN(1800))*time.Second, 0)
	}
	large := batch
	large.taskRange, large.coreChoices, large.memoryRange, large.queue = [2]int{1, 2}, []int64{12 * size}, [2]int64{20 * size, 40 * size}, "large"
	b.addPoisson(large, teams, 0, length, 6)
	gang := jobTemplate{
		group: GroupGang, kind: modeler.WorkGang, class: modeler.ClassStandard, queue: "gang", taskRange: [2]int{8, 24},
		coreChoices: []int64{4 * size}, memoryRange: [2]int64{4 * size, 8 * size}, runtime: 30 * time.Minute, runtimeDeviation: 0.4, declaredRatio: 1, declaredDeviation: 0.5, sameRackShare: 0.5,
	}
	b.addPoisson(gang, teams, 0, length, 2)
	if b.Total().Accelerators > 0 {
		gang.taskRange, gang.accelerators, gang.queue, gang.sameRackShare = [2]int{2, 8}, 1, "train", 0
		b.addPoisson(gang, teams, 0, length, 1)
	}
	neverFits := large
	neverFits.coreChoices, neverFits.queue = []int64{100 * size}, "never"
	b.addPoisson(neverFits, teams, 0, length, 0.2)
}

// Certification returns a deployment of 50 workers with 64 processors and 256
// GB. Its workload consists of overnight certifications with a morning deadline,
// recall notices that run at most once, label checks, and batch work, in the
// same proportion to the cluster as in Forecast.
func Certification(seed uint64) Deployment {
	const length = 15 * time.Hour
	b := newBuilder("50 workers of 64 processors and 256 GB", seed, dayStart(), length)
	b.addWorkers(50, 64, 256, 0)
	b.addTeams(0.6, 4, 4, 2, 1, 1, 1)
	recall := jobTemplate{
		group: GroupUrgent, kind: modeler.WorkBatch, class: modeler.ClassUrgent, queue: "recall", taskRange: [2]int{1, 2},
		coreChoices: []int64{1, 2}, memoryRange: [2]int64{1, 4}, runtime: 20 * time.Second, runtimeDeviation: 0.5, declaredRatio: 1, declaredDeviation: 0.5, once: true,
	}
	b.addPoisson(recall, []int{0, 1, 2, 3, 4, 5}, 0, length, 90)
	for range 8 {
		at := time.Duration(b.random.Int64N(int64(length - time.Hour)))
		for range 40 {
			b.addJob(recall, b.random.IntN(6), at+time.Duration(b.random.IntN(5000))*time.Millisecond, at+10*time.Minute)
		}
	}
	b.addPoisson(jobTemplate{
		group: GroupService, kind: modeler.WorkService, class: modeler.ClassStandard, queue: "label", taskRange: [2]int{1, 4},
		coreChoices: []int64{2, 4}, memoryRange: [2]int64{2, 8}, runtime: 2 * time.Hour, runtimeDeviation: 0.5, declaredRatio: 1, declaredDeviation: 0.3,
	}, []int{1, 2, 3}, 0, length, 15)
	certification := jobTemplate{
		group: GroupDeadline, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "certification", taskRange: [2]int{40, 120},
		coreChoices: []int64{4, 8}, memoryRange: [2]int64{8, 32}, runtime: 25 * time.Minute, runtimeDeviation: 0.5, declaredRatio: 0.6, declaredDeviation: 0.6,
	}
	for range 60 {
		at := 2*time.Hour + time.Duration(b.random.Int64N(int64(9*time.Hour)))
		b.addJob(certification, []int{0, 1, 2}[b.random.IntN(3)], at, 12*time.Hour+time.Duration(b.random.IntN(90))*time.Minute)
	}
	b.addBackground(4*250, []int{1, 2, 3, 4, 5}, length, 4)
	b.addFailures(3)
	b.addCancellations(GroupBatch, 8*time.Hour, 0.3)

	return b.build()
}

// SixTeams returns a deployment of the same size as Forecast, which six teams
// fill. Two of them always have more work than the cluster can run; the others
// have work at intervals, so that capacity is lent and reclaimed.
func SixTeams(seed uint64) Deployment {
	const length = 8 * time.Hour
	b := newBuilder("six teams, two of them large", seed, dayStart(), length)
	b.addWorkers(50, 16, 64, 0)
	b.addTeams(0.9, 5, 4, 2, 1, 1, 1)
	batch := jobTemplate{
		group: GroupBatch, kind: modeler.WorkBatch, class: modeler.ClassStandard, queue: "batch", taskRange: [2]int{5, 40},
		coreChoices: []int64{1, 2, 4}, memoryRange: [2]int64{2, 8}, runtime: 8 * time.Minute, runtimeDeviation: 0.8, declaredRatio: 1, declaredDeviation: 0.8,
	}
	long := batch
	long.runtime, long.queue, long.taskRange = time.Hour, "long", [2]int{5, 10}
	b.addPoisson(batch, []int{0, 1}, 0, length, 160)
	b.addPoisson(long, []int{0, 1}, 0, length, 12)
	for team := 2; team < 6; team++ {
		for at := time.Duration(team) * 15 * time.Minute; at < length-time.Hour; at += 2 * time.Hour {
			b.addPoisson(batch, []int{team}, at, at+time.Hour, 40)
			b.addPoisson(long, []int{team}, at, at+time.Hour, 3)
		}
	}
	urgent := batch
	urgent.group, urgent.class, urgent.queue = GroupUrgent, modeler.ClassUrgent, "urgent"
	urgent.taskRange, urgent.runtime = [2]int{1, 2}, time.Minute
	b.addPoisson(urgent, []int{0, 1, 2, 3, 4, 5}, 0, length, 30)

	return b.build()
}
