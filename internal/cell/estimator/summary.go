package estimator

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Version is that of the summaries that this code writes. It reads no newer ones.
const Version = 1

const (
	// shardCount is the number of parts of a summary that hold keys, and of those that hold speeds.
	shardCount = 64
	// maxShardKeys and maxShardSpeeds bound a part.
	maxShardKeys   = 160
	maxShardSpeeds = 640
	// quantileCount is the number of quantiles of a distribution in a summary.
	quantileCount = 15
	// quantileScale is the unit of the ratios in a summary.
	quantileScale = 1000
	speedScale    = 1000
	// restoredEvidence bounds the evidence of a restored distribution, so that what the next owner sees counts soon.
	restoredEvidence = 48.0
)

// Shard is a part of a summary of what was learned. Each part can be used without the others.
type Shard struct {
	Version int
	// Number is that of the part.
	Number int
	Keys   []KeySummary   `msgpack:",omitempty"`
	Speeds []SpeedSummary `msgpack:",omitempty"`
}

// KeySummary is a summary of the distribution of a key.
type KeySummary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Level    int8
	Key      KeyFields
	// Evidence is the weight of the samples, in thousandths.
	Evidence uint32
	// Quantiles are evenly spaced ratios, in thousandths.
	Quantiles []uint32
	// WithinStep is the variance in the steps of the queue, in millionths, with the key of a queue.
	WithinStep uint32
}

// KeyFields is a Key in a summary.
type KeyFields struct {
	_msgpack              struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Queue, Account, Image string
	Shape                 Shape
}

// SpeedSummary is the speed of an endpoint.
type SpeedSummary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Endpoint string
	Service  string
	// Speed is in thousandths, and Variance in millionths.
	Speed, Variance uint32
}

// shards tells which parts of the summary are out of date.
type shards struct {
	changed [2 * shardCount]bool
	next    int
}

func shardOfKey(key levelKey) int {
	return int(xxhash.Sum64String(key.key.Queue+"\x00"+key.key.Account+"\x00"+key.key.Image) % shardCount)
}

func shardOfSpeed(endpoint string) int {
	return shardCount + int(xxhash.Sum64String(endpoint)%shardCount)
}

// NextShard returns the next part of the summary that is out of date, and false if there
// is none. The parts take turns.
func (e *Estimator) NextShard() (Shard, bool) {
	for range len(e.shards.changed) {
		number := e.shards.next
		e.shards.next = (number + 1) % len(e.shards.changed)
		if e.shards.changed[number] {
			e.shards.changed[number] = false

			return e.shard(number), true
		}
	}

	return Shard{}, false
}

// Skip marks a part as out of date, because it was not stored.
func (e *Estimator) Skip(s Shard) {
	e.shards.changed[s.Number] = true
	e.shards.next = s.Number
}

// shard returns a part of the summary.
func (e *Estimator) shard(number int) Shard {
	s := Shard{Version: Version, Number: number}
	if number >= shardCount {
		for id, speed := range e.speeds {
			if speed.shard == number {
				s.Speeds = append(s.Speeds, SpeedSummary{Endpoint: id, Service: speed.service, Speed: uint32(speed.factor() * speedScale), Variance: uint32(speed.variance * millionths)})
			}
		}
		slices.SortFunc(s.Speeds, func(a, b SpeedSummary) int { return strings.Compare(a.Endpoint, b.Endpoint) })
		s.Speeds = s.Speeds[:min(len(s.Speeds), maxShardSpeeds)]

		return s
	}
	for element := e.recent.Front(); element != nil && len(s.Keys) < maxShardKeys; element = element.Next() {
		if d := valueOf(element); d.shard == number && d.steps >= minSteps {
			s.Keys = append(s.Keys, e.summarize(d))
		}
	}

	return s
}

const (
	millionths  = 1_000_000
	thousandths = 1000
)

func (e *Estimator) summarize(d *distribution) KeySummary {
	k := d.key.key
	summary := KeySummary{Level: int8(d.key.level), Key: KeyFields{Queue: k.Queue, Account: k.Account, Image: k.Image, Shape: k.Shape}, Evidence: uint32(min(d.evidence(), restoredEvidence) * thousandths)}
	for n := range quantileCount {
		summary.Quantiles = append(summary.Quantiles, uint32(d.quantile((float64(n)+medianRank)/quantileCount)*quantileScale))
	}
	if d.key.level == levelQueue {
		summary.WithinStep = uint32(e.withinStep(k.Queue) * millionths)
	}

	return summary
}

// Restore adds a part of a summary to what was learned. It reports whether the version
// is one that this code reads. Implausible values are left out.
func (e *Estimator) Restore(s Shard) bool {
	if s.Version < 1 || s.Version > Version {
		return false
	}
	for i := range s.Keys {
		e.restoreKey(&s.Keys[i])
	}
	for _, summary := range s.Speeds {
		value, variance := float64(summary.Speed)/speedScale, float64(summary.Variance)/millionths
		if value < minSpeed || value > maxSpeed || variance <= 0 || variance > 1 || len(e.speeds) >= maxSpeeds {
			continue
		}
		e.speeds[summary.Endpoint] = e.newSpeed(summary.Endpoint, summary.Service, value, variance)
	}

	return true
}

func (e *Estimator) restoreKey(s *KeySummary) {
	evidence := min(float64(s.Evidence)/thousandths, restoredEvidence)
	if s.Level < 0 || level(s.Level) >= levels || evidence <= 0 || len(s.Quantiles) == 0 || len(s.Quantiles) > maxBins {
		return
	}
	k := Key{Queue: s.Key.Queue, Account: s.Key.Account, Image: s.Key.Image, Shape: s.Key.Shape}
	d := e.distribution(k.at(level(s.Level)))
	for _, quantile := range s.Quantiles {
		ratio := min(max(float64(quantile)/quantileScale, minRatio), maxRatio)
		d.bins.AddWithCount(ratioMapping.Index(ratio), d.next*evidence/float64(len(s.Quantiles)))
	}
	d.steps, d.predicted = minSteps, false
	if within := float64(s.WithinStep) / millionths; d.key.level == levelQueue && within >= minWithinStep && within <= 1 {
		e.withinSteps[k.Queue] = within
	}
}
