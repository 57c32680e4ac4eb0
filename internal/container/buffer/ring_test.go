package buffer

import (
	"context"
	"testing"
)

// TestRing_RefusesWhenFull guards against a full ring that grows or overwrites items
// instead of refusing them.
func TestRing_RefusesWhenFull(t *testing.T) {
	ring := NewRing[int](2)
	for i, want := range []bool{true, true, false} {
		if got := ring.Push(i); got != want {
			t.Fatalf("push %d: got %t, want %t", i, got, want)
		}
	}
	ring.Close()
	for want := range 2 {
		if got, ok := ring.Pop(context.Background()); !ok || got != want {
			t.Fatalf("pop: got %d, %t, want %d", got, ok, want)
		}
	}
	if _, ok := ring.Pop(context.Background()); ok {
		t.Fatal("pop from a closed empty ring reported an item")
	}
}

// TestRing_WakesEveryConsumer guards against a lost wake-up when several consumers
// block on the same ring.
func TestRing_WakesEveryConsumer(t *testing.T) {
	ring := NewRing[int](4)
	done := make(chan int)
	for range 3 {
		go func() {
			item, _ := ring.Pop(context.Background())
			done <- item
		}()
	}
	for i := range 3 {
		ring.Push(i + 1)
	}
	sum := 0
	for range 3 {
		sum += <-done
	}
	if sum != 6 {
		t.Fatalf("consumers got a sum of %d, want 6", sum)
	}
}
