package planner

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Endpoints differ in speed. Where they do, a task prefers a speed by its slack: the risk
// that it misses its objective on an endpoint counts against slow endpoints, and a price
// counts against fast ones, which are left to work that needs them.

const (
	// minSpeedRatio is the least ratio of the speeds of the fastest and the slowest endpoints of a service from which
	// work prefers endpoints by its slack.
	minSpeedRatio = 1.2
	// rankedShare is the share of the endpoints that count as the fastest, and as the slowest.
	rankedShare = 1.0 / 5
	// speedsPerRanking is how often the speed of an endpoint changes on average between two rankings. Speeds that
	// differ by chance only have mostly been replaced by then.
	speedsPerRanking = 4
	// speedWeight weighs the score of a speed against packing.
	speedWeight = 20.0
	// speedPrice is the risk that a task takes to leave an endpoint of the mean speed to others.
	speedPrice = 0.06
	// similarSpeedRatio is the ratio up to which the speeds of the members of a gang count as alike.
	similarSpeedRatio = 1.1
	// speedNoteInterval is the time between two notes about the speeds that the queues got.
	speedNoteInterval = 10 * time.Second
)

// serviceSpeeds describes the speeds of the usable endpoints of a service.
type serviceSpeeds struct {
	service string
	// mean is their mean speed in this round, and count their number.
	mean  float64
	count int
	// top is the speed of the fastest at the last ranking, as a multiple of the mean.
	top float64
	// varied means that the endpoints differ in speed by minSpeedRatio.
	varied bool
	// slowest and fastest are the endpoints that had the lowest and the highest speeds at the last ranking, and
	// changes counts the changes of speeds since.
	slowest, fastest []*endpoint
	changes          int
	// starts holds the starts of each queue since notedAt.
	starts  map[string]*startedSpeeds
	notedAt definer.Instant
}

// startedSpeeds sums up the speeds of the endpoints, relative to the mean, on which tasks were started.
type startedSpeeds struct {
	starts int
	speeds float64
}

// measureSpeeds records the speeds of the usable endpoints of each service. Whether they
// differ is judged after each ranking by those that the previous one found the slowest and
// the fastest: an endpoint that was among them by chance has a usual speed by then.
func (ps *pass) measureSpeeds() {
	p := ps.planner
	for _, service := range p.speeds {
		service.mean, service.count = 0, 0
	}
	var of *serviceSpeeds
	for _, e := range ps.usable {
		if of == nil || of.service != e.Service {
			of = p.speedsOf(e.Service)
		}
		of.mean += e.speed
		of.count++
		if e.speed != e.countedSpeed {
			e.countedSpeed = e.speed
			of.changes++
		}
	}
	for _, service := range p.speeds {
		if service.count == 0 {
			continue
		}
		service.mean /= float64(service.count)
		if service.changes >= speedsPerRanking*service.count {
			ps.rank(service)
		}
		ps.noteSpeeds(service)
	}
}

// speedsOf returns the speeds of a service.
func (p *Planner) speedsOf(service string) *serviceSpeeds {
	of := p.speeds[service]
	if of == nil {
		of = &serviceSpeeds{service: service, mean: 1, starts: map[string]*startedSpeeds{}}
		p.speeds[service] = of
	}

	return of
}

// rank judges whether the endpoints of a service differ in speed, and ranks them anew.
func (ps *pass) rank(of *serviceSpeeds) {
	slow, fast := ps.meanSpeed(of.slowest), ps.meanSpeed(of.fastest)
	if varied := slow > 0 && fast >= minSpeedRatio*slow; varied != of.varied {
		of.varied = varied
		ps.planner.note("speeds of endpoints differ", "", "service", of.service, "differ", varied, "slowest", slow, "fastest", fast, "mean", of.mean)
	}
	ranked := make([]*endpoint, 0, of.count)
	for _, e := range ps.usable {
		if e.Service == of.service {
			ranked = append(ranked, e)
		}
	}
	slices.SortStableFunc(ranked, func(a, b *endpoint) int { return cmp.Compare(a.speed, b.speed) })
	share := max(int(rankedShare*float64(len(ranked))), 1)
	of.top = fast / of.mean
	of.slowest, of.fastest, of.changes = ranked[:share], ranked[len(ranked)-share:], 0
}

// meanSpeed returns the mean speed of those of the endpoints that are usable, or 0.
func (ps *pass) meanSpeed(endpoints []*endpoint) float64 {
	total, count := 0.0, 0
	for _, e := range endpoints {
		if e.round == ps.planner.rounds {
			total += e.speed
			count++
		}
	}

	return total / float64(max(count, 1))
}

// noteSpeeds notes, once in each speedNoteInterval, what speeds the queues got.
func (ps *pass) noteSpeeds(of *serviceSpeeds) {
	if ps.now.Sub(of.notedAt) < speedNoteInterval {
		return
	}
	if len(of.starts) > 0 {
		speeds := make(map[string]float64, len(of.starts))
		for queue, started := range of.starts {
			speeds[queue] = started.speeds / float64(started.starts)
		}
		ps.planner.note("placed by speed", "", "service", of.service, "mean speed", of.mean, "relative speed by queue", speeds)
	}
	of.notedAt = ps.now
	clear(of.starts)
}

// recordStart counts a start on e.
func (p *Planner) recordStart(s *step, e *endpoint) {
	of := p.speedsOf(e.Service)
	if !of.varied {
		return
	}
	started := of.starts[s.job.Queue.Name]
	if started == nil {
		started = &startedSpeeds{}
		of.starts[s.job.Queue.Name] = started
	}
	started.starts++
	started.speeds += of.relative(e)
}

// relative returns the speed of e as a multiple of the mean.
func (of *serviceSpeeds) relative(e *endpoint) float64 { return e.speed / of.mean }

// preference is the speed that the tasks of a step prefer in a round.
type preference struct {
	// speeds are those of the service, or nil if the endpoints do not differ in speed; tasks then prefer fast ones.
	speeds *serviceSpeeds
	// slack is the time that the rest of the job has to meet its objective, as a multiple of what it is expected to
	// need at the mean speed, and uselessSlack the same for the time until the job is useless.
	slack, uselessSlack float64
}

// preferenceOf returns the preference of a step. A job that misses its objective counts as
// having time until it is useless, and a useless one, or one beyond the rate of its account,
// as having all the time.
func (p *Planner) preferenceOf(s *step) preference {
	of := p.speeds[s.job.Queue.Service]
	expected := s.remainingPath
	if of == nil || !of.varied || expected <= 0 || s.def.LongRunning {
		return preference{}
	}
	j := s.job
	useless := j.accepted.Add(lateFactor * j.deadline.Sub(j.accepted))
	slackUntil := func(end definer.Instant) float64 {
		return (end.Sub(p.now) - reportingSlack).Seconds() / expected.Seconds()
	}
	w := preference{speeds: of, slack: slackUntil(j.deadline), uselessSlack: slackUntil(useless)}
	if w.slack*of.top < outOfReach {
		w.slack = w.uselessSlack
	}
	if w.uselessSlack*of.top < outOfReach || j.excess {
		w.slack, w.uselessSlack = unlimitedSlack, unlimitedSlack
	}

	return w
}

const (
	// outOfReach is the multiple of the time expected on the fastest endpoints below which an objective is out of reach,
	// as far as estimates can be trusted.
	outOfReach = 0.5
	// unlimitedSlack is the slack of work that has no objective to meet any more.
	unlimitedSlack = 1e3
)

// score rates the speed of an endpoint. The score is between 0 and -scoreRange, except that
// without a preference it is the speed.
func (w preference) score(e *endpoint) float64 {
	if w.speeds == nil {
		return e.speed
	}
	speed := w.speeds.relative(e)

	return speedScore(w.slack*speed, speed)
}

// speedScore rates a speed by the risk that work misses its objective, if it has the given
// multiple of its expected time, and by the price of the speed.
func speedScore(multiple, speed float64) float64 {
	return -speedWeight * (lateRisk(multiple) + speedPrice*speed)
}

// scoreRange returns the largest difference between the scores of two speeds where speeds differ.
func (w preference) scoreRange() float64 {
	if w.speeds == nil {
		return 0
	}

	return speedWeight
}

// lateRisk returns the risk that work misses its objective if it has the given multiple of
// its expected time. It assumes that run times are off by about half.
func lateRisk(multiple float64) float64 {
	if multiple <= 0 {
		return 1
	}
	square := multiple * multiple

	return 1 / (1 + square*square)
}

// fallsBehind reports whether a task on e is expected to end when its job is useless,
// although it would meet its objective at the mean speed.
func (w preference) fallsBehind(e *endpoint) bool {
	return w.speeds != nil && w.slack >= 1 && w.uselessSlack*w.speeds.relative(e) < 1
}

// waitsForSpeed reports whether the tasks of s wait for another endpoint than those on
// which they would fall behind: a usable one may run them.
func (ps *pass) waitsForSpeed(s *step, pref preference) bool {
	need := s.need()

	return slices.ContainsFunc(ps.usable, func(e *endpoint) bool {
		return need.Fits(e.Capacity) && !pref.fallsBehind(e) && s.eligible(e)
	})
}

// suitedFirst returns candidates for a question about count endpoints: half of them
// are those with about the preferred speed, the others as they come, so that a step may use
// other endpoints without a second question.
func (p *Planner) suitedFirst(s *step, candidates []*endpoint, count int) []*endpoint {
	pref := p.preferenceOf(s)
	if pref.speeds == nil || count >= len(candidates) {
		return candidates
	}
	best := candidates[0]
	for _, e := range candidates {
		if pref.score(e) > pref.score(best) {
			best = e
		}
	}
	suited, others := make([]*endpoint, 0, len(candidates)), make([]*endpoint, 0, len(candidates))
	for _, e := range candidates {
		if len(suited) < count/2 && e.speed < minSpeedRatio*best.speed && best.speed < minSpeedRatio*e.speed {
			suited = append(suited, e)
		} else {
			others = append(others, e)
		}
	}

	return append(suited, others...)
}

// similarSpeeds returns those of the endpoints among which a gang of count tasks is assigned.
// The gang runs at the pace of its slowest member: of all ranges of speed that have room for
// it, the one with the best score is chosen, the speed of which is rated by its slowest
// endpoint and its price by the mean. It returns all endpoints where speeds do not differ.
func (w preference) similarSpeeds(s *step, count int, endpoints []*endpoint, fit func(*endpoint) int) []*endpoint {
	if w.speeds == nil {
		return endpoints
	}
	type option struct {
		*endpoint
		room  int
		speed float64
		other float64
	}
	need := s.need()
	options := make([]option, 0, len(endpoints))
	for _, e := range endpoints {
		if room := min(fit(e), count); room > 0 {
			options = append(options, option{e, room, w.speeds.relative(e), s.fitness(e, need, w.scoreRange())})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.speed, b.speed) })
	room, speeds, others := 0, 0.0, 0.0
	bestScore, first, last, end := 0.0, -1, 0, 0
	for begin := range options {
		for ; room < count && end < len(options); end++ {
			o := &options[end]
			room += o.room
			speeds += float64(o.room) * o.speed
			others += float64(o.room) * o.other
		}
		if room < count {
			break
		}
		o := &options[begin]
		score := others/float64(room) + speedScore(w.slack*o.speed, speeds/float64(room))
		if first < 0 || score > bestScore {
			bestScore, first, last = score, begin, end
		}
		room -= o.room
		speeds -= float64(o.room) * o.speed
		others -= float64(o.room) * o.other
	}
	if first < 0 {
		return endpoints
	}
	var alike []*endpoint
	for i := first; i < len(options) && (i < last || options[i].speed <= similarSpeedRatio*options[first].speed); i++ {
		alike = append(alike, options[i].endpoint)
	}

	return alike
}

// similarSpeedsFirst returns the candidates for a question about a gang, those of like speed
// that suit it and have room for count tasks first. If those with room have too little, the
// order stays.
func (p *Planner) similarSpeedsFirst(s *step, candidates []*endpoint, count int) []*endpoint {
	pref := p.preferenceOf(s)
	if pref.speeds == nil {
		return candidates
	}
	alike := pref.similarSpeeds(s, count, candidates, func(e *endpoint) int { return tasksFitting(s, e.free(), s.def.PerEndpoint) })
	if len(alike) == len(candidates) {
		return candidates
	}
	slowest, fastest := alike[0].speed, alike[len(alike)-1].speed
	first, others := make([]*endpoint, 0, len(candidates)), make([]*endpoint, 0, len(candidates))
	for _, e := range candidates {
		if e.speed >= slowest && e.speed <= fastest {
			first = append(first, e)
		} else {
			others = append(others, e)
		}
	}

	return append(first, others...)
}

// score rates an endpoint for a task of s. Proximity to the data weighs most, then speed,
// then tight packing; recent failures lower the score.
func (s *step) score(e *endpoint, need modeler.Resources, pref preference) float64 {
	return pref.score(e) + s.fitness(e, need, pref.scoreRange())
}

// fitness is the part of the score that does not depend on the speed. span is how far the
// scores of speeds may be apart.
func (s *step) fitness(e *endpoint, need modeler.Resources, span float64) float64 {
	fitness := packingWeight*need.Add(e.used).DominantShare(e.Capacity) - failureWeight*float64(e.consecutiveFailures)
	if s.def.DataRack != "" && !e.Label(s.def.DataRack) {
		fitness -= remoteDataPenalty + span
	}

	return fitness
}
