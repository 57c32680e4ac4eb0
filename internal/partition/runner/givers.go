package runner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// givers returns the partitions to ask for tokens, in this order. Those of the
// own region come first at every other request, and each list begins with
// another partition at each request: one that gives a little every time would
// otherwise keep the ones behind it from being asked.
func givers(partitions []modeler.Partition, self modeler.Partition, now time.Time) []modeler.PartitionID {
	var near, far []modeler.PartitionID
	for _, p := range partitions {
		switch {
		case p.Name == self.Name:
		case p.Region == self.Region:
			near = append(near, p.Name)
		default:
			far = append(far, p.Name)
		}
	}
	// The requests for a team are a second apart.
	round := int(now.Unix())
	near, far = rotate(near, round/2), rotate(far, round/2)
	if round%2 == 1 {
		near, far = far, near
	}

	return append(near, far...)
}

// rotate returns the list beginning at element by modulo its length.
func rotate(list []modeler.PartitionID, by int) []modeler.PartitionID {
	if len(list) == 0 {
		return nil
	}
	by %= len(list)

	return append(append([]modeler.PartitionID(nil), list[by:]...), list[:by]...)
}
