package estimator

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// relativeAccuracy is that of the learned quantiles.
	relativeAccuracy = 0.02
	// minRatio and maxRatio bound the ratios of a distribution; a run beyond them counts as one at the bound.
	minRatio, maxRatio = 1.0 / 32, 32.0
	// maxBins is the number of bins between minRatio and maxRatio.
	maxBins = 192
	// halfLife is the weight of later samples after which a sample counts half at the finest level. Those of
	// the coarser ones are levelFactor times as long, as they see more runs.
	halfLife    = 30.0
	levelFactor = 2
	// maxSampleWeight is the weight of a sample from which the weights are scaled down.
	maxSampleWeight = 1 << 20
	// censoredFactor is the factor by which a censored run that exceeds all samples is extended.
	censoredFactor = 1.5
	// quartileWidth is the distance of the quartiles of a normal distribution of deviation 1.
	quartileWidth = 1.349
	medianRank    = 0.5
	highRank      = 0.9
)

// ratioMapping assigns ratios to bins.
var ratioMapping = newMapping()

func newMapping() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		panic(err) // The accuracy is a constant that is valid.
	}

	return m
}

// distribution is the distribution of the ratios of actual work to estimates of one key.
// Older samples count less: instead of making them lighter, each sample is heavier than
// the one before.
type distribution struct {
	key levelKey
	// shard is the part of the summary that the key belongs to.
	shard int
	bins  *store.CollapsingLowestDenseStore
	// next is the weight of the next sample, for one of weight 1.
	next float64
	// steps counts the steps that the samples are from, up to minSteps.
	steps int
	// prediction is valid if predicted is true.
	prediction Prediction
	predicted  bool
}

func newDistribution(key levelKey) *distribution {
	return &distribution{key: key, shard: shardOfKey(key), bins: store.NewCollapsingLowestDenseStore(maxBins), next: 1}
}

// evidence returns the weight of all samples, in units of the latest.
func (d *distribution) evidence() float64 { return d.bins.TotalCount() / d.next }

// add adds a sample. A censored one is spread over the bins above it, as the samples
// there say how long such a run would have taken.
func (d *distribution) add(ratio, weight float64, censored bool) {
	d.predicted = false
	ratio = min(max(ratio, minRatio), maxRatio)
	if censored {
		d.addCensored(ratio, weight*d.next)
	} else {
		d.bins.AddWithCount(ratioMapping.Index(ratio), weight*d.next)
	}
	d.next *= math.Exp2(weight / d.halfLife())
	if d.next > maxSampleWeight {
		// The factor is positive, so there is no error.
		_ = d.bins.Reweight(1 / d.next)
		d.next = 1
	}
}

func (d *distribution) halfLife() float64 {
	return halfLife * math.Pow(levelFactor, float64(levelShape-d.key.level))
}

func (d *distribution) addCensored(ratio, weight float64) {
	from := ratioMapping.Index(ratio) + 1
	above := d.weightFrom(from)
	if above <= 0 {
		d.bins.AddWithCount(ratioMapping.Index(min(ratio*censoredFactor, maxRatio)), weight)

		return
	}
	share := weight / above
	// ForEach must not see the bins change.
	var counts [maxBins]store.Bin
	n := 0
	d.bins.ForEach(func(index int, count float64) bool {
		if index >= from && n < len(counts) {
			if bin, err := store.NewBin(index, count*share); err == nil {
				counts[n] = *bin
				n++
			}
		}

		return false
	})
	for _, bin := range counts[:n] {
		d.bins.AddBin(bin)
	}
}

// weightFrom returns the weight of the bins from an index on.
func (d *distribution) weightFrom(from int) float64 {
	total := 0.0
	d.bins.ForEach(func(index int, count float64) bool {
		if index >= from {
			total += count
		}

		return false
	})

	return total
}

// quantile returns a quantile of the ratios.
func (d *distribution) quantile(rank float64) float64 {
	return ratioMapping.Value(d.bins.KeyAtRank(rank * d.bins.TotalCount()))
}

// quantileAbove returns a quantile of the ratios above one, or that one if there are none.
func (d *distribution) quantileAbove(ratio, rank float64) float64 {
	if ratio < minRatio {
		return d.quantile(rank)
	}
	above := d.weightFrom(ratioMapping.Index(ratio) + 1)
	if above <= 0 {
		return ratio
	}
	total := d.bins.TotalCount()

	return ratioMapping.Value(d.bins.KeyAtRank(total - (1-rank)*above))
}

// predict returns the prediction of the distribution.
func (d *distribution) predict() Prediction {
	if !d.predicted {
		spread := math.Log(d.quantile(0.75)/d.quantile(0.25)) / quartileWidth
		d.prediction = Prediction{Median: d.quantile(medianRank), High: d.quantile(highRank), Spread: spread, Learned: true}
		d.predicted = true
	}

	return d.prediction
}
