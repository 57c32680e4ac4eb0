package disrupter

import "testing"

// TestMixes guards against a mix that is accepted but injects other faults than its
// name says, which would leave the known runs of that mix without their fault.
func TestMixes(t *testing.T) {
	for _, c := range []struct {
		text  string
		count int
		valid bool
	}{
		{"single", len(faults), true},
		{"struck-twice", len(struckTwice), true},
		{"store-cut", len(storeCut), true},
		{"malformed", len(malformed), true},
		{"many-ends", len(manyEnds), true},
		{"policies", len(calmFaultNames) + len(policyFaults), true},
		{"all", len(faults) + len(struckTwice) + len(storeCut) + len(malformed), true},
		{"none", 0, false},
	} {
		var mix Mix
		if err := mix.UnmarshalText([]byte(c.text)); (err == nil) != c.valid {
			t.Errorf("%s: error %v, valid %v", c.text, err, c.valid)
		}
		if got := len(mix.faults()); c.valid && got != c.count {
			t.Errorf("%s: %d faults, want %d", c.text, got, c.count)
		}
	}
}
