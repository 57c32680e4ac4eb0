package runner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// tokenSources returns the partitions to ask for tokens, in this order. The
// partitions of the same region come first in every other request, and each of
// the two lists is rotated between requests. Otherwise a partition that transfers
// a little every time would keep those after it from being asked.
func tokenSources(partitions []modeler.Partition, self modeler.Partition, now time.Time) []modeler.PartitionID {
	var sameRegion, otherRegions []modeler.PartitionID
	for _, p := range partitions {
		switch {
		case p.Name == self.Name:
		case p.Region == self.Region:
			sameRegion = append(sameRegion, p.Name)
		default:
			otherRegions = append(otherRegions, p.Name)
		}
	}
	// Requests for a team are one second apart.
	round := int(now.Unix())
	sameRegion, otherRegions = rotate(sameRegion, round/2), rotate(otherRegions, round/2)
	if round%2 == 1 {
		sameRegion, otherRegions = otherRegions, sameRegion
	}

	return append(sameRegion, otherRegions...)
}

// rotate returns the list rotated left by shift elements.
func rotate(list []modeler.PartitionID, shift int) []modeler.PartitionID {
	if len(list) == 0 {
		return nil
	}
	shift %= len(list)

	return append(append([]modeler.PartitionID(nil), list[shift:]...), list[:shift]...)
}
