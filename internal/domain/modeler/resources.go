// Package modeler defines the domain types shared by the other packages.
package modeler

import "fmt"

// Resources is a vector of the resources that an endpoint offers or a task needs.
type Resources struct {
	// Millis is processor time in thousandths of a processor.
	Millis int64 `json:"millis,omitempty" msgpack:"c,omitempty"`
	// Memory is in bytes.
	Memory int64 `json:"memory,omitempty" msgpack:"m,omitempty"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty" msgpack:"a,omitempty"`
	// Slots is a count of concurrent calls on an executor.
	Slots int64 `json:"slots,omitempty" msgpack:"s,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Millis + o.Millis, r.Memory + o.Memory, r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Sub returns r - o; a component may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Millis - o.Millis, r.Memory - o.Memory, r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.Millis * n, r.Memory * n, r.Accelerators * n, r.Slots * n}
}

// Fits reports whether every component of r is at most that of o.
func (r Resources) Fits(o Resources) bool {
	return r.Millis <= o.Millis && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators && r.Slots <= o.Slots
}

// Zero reports whether every component is zero.
func (r Resources) Zero() bool { return r == Resources{} }

// Min returns the componentwise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		min(r.Millis, o.Millis), min(r.Memory, o.Memory), min(r.Accelerators, o.Accelerators), min(r.Slots, o.Slots),
	}
}

// DominantShare returns the largest ratio of a component of r to that of total, over
// the components where total is positive. It is between 0 and 1 if r fits total.
func (r Resources) DominantShare(total Resources) float64 {
	var share float64
	for _, c := range [...][2]int64{
		{r.Millis, total.Millis}, {r.Memory, total.Memory}, {r.Accelerators, total.Accelerators}, {r.Slots, total.Slots},
	} {
		if c[1] > 0 {
			share = max(share, float64(c[0])/float64(c[1]))
		}
	}

	return share
}

// String formats r for logs and decision records.
func (r Resources) String() string {
	return fmt.Sprintf("%dm processors, %d bytes, %d accelerators, %d slots", r.Millis, r.Memory, r.Accelerators, r.Slots)
}
