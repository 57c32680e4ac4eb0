package lister

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestLag guards against a list that shows changes before the lag has passed,
// unlike the real list.
func TestLag(t *testing.T) {
	list := New(time.Second)
	begin := time.Unix(0, 0)
	list.Put(begin, modeler.Instance{ID: "a"})
	list.Remove(begin.Add(time.Second), "a")
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {time.Second, 1}, {1900 * time.Millisecond, 1}, {2 * time.Second, 0}} {
		if got := len(list.Instances(begin.Add(c.after))); got != c.want {
			t.Errorf("after %s: %d instances, want %d", c.after, got, c.want)
		}
	}
}
