package definer

import "slices"

// Evacuations holds the zones that get no new work, as of an offset of the operators' table.
type Evacuations struct {
	// Zones are sorted.
	Zones []string
	// Offset is the offset up to which the records of the table are known to be included. Of two sets, that with the
	// higher offset is the newer one.
	Offset int64
}

// EvacuationSet collects the evacuated zones from the records of the operators' table.
type EvacuationSet struct {
	decoder Decoder
	zones   map[string]struct{}
}

// NewEvacuationSet returns an empty set.
func NewEvacuationSet(decoder Decoder) *EvacuationSet {
	return &EvacuationSet{decoder: decoder, zones: map[string]struct{}{}}
}

// Apply applies a record of the operators' table. It reports whether the set has changed.
func (s *EvacuationSet) Apply(record Record) bool {
	zone, evacuated := s.decoder.Evacuation(record)
	if zone == "" {
		return false
	}
	if _, known := s.zones[zone]; known == evacuated {
		return false
	}
	if evacuated {
		s.zones[zone] = struct{}{}
	} else {
		delete(s.zones, zone)
	}

	return true
}

// AsOf returns the evacuations as of an offset.
func (s *EvacuationSet) AsOf(offset int64) Evacuations {
	evacuations := Evacuations{Offset: offset}
	for zone := range s.zones {
		evacuations.Zones = append(evacuations.Zones, zone)
	}
	slices.Sort(evacuations.Zones)

	return evacuations
}
