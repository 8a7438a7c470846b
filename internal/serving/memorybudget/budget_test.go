package memorybudget

import (
	"math/rand"
	"testing"
	"time"
)

// TestBudgetHoldsForAll opens, grows and releases reservations by chance: their sum never exceeds the budget,
// and new requests leave a part of it to those that were admitted.
func TestBudgetHoldsForAll(t *testing.T) {
	const capacity = 100_000
	random := rand.New(rand.NewSource(1))
	budget := New(capacity)
	var open []*Reservation
	for step := range 20_000 {
		now := time.Duration(step) * time.Millisecond
		bytes := random.Int63n(5_000)
		switch r := random.Intn(3); {
		case r == 0:
			reservation := budget.Open()
			if reservation.Admit(bytes) {
				open = append(open, reservation)
				if budget.Reserved() > capacity*admissionFraction {
					t.Fatalf("a new request leaves %d of %d bytes", capacity-budget.Reserved(), capacity)
				}
			}
		case len(open) > 0 && r == 1:
			open[random.Intn(len(open))].Grow(bytes)
		case len(open) > 0:
			open[0].Release(now)
			open = open[1:]
		}
		sum := int64(0)
		for _, reservation := range open {
			sum += reservation.Bytes()
		}
		if sum != budget.Reserved() || sum > capacity {
			t.Fatalf("%d bytes reserved, %d held of %d", budget.Reserved(), sum, capacity)
		}
	}
}

// TestRetryAfterFollowsReleases tells a refused request to come back once others have made room.
func TestRetryAfterFollowsReleases(t *testing.T) {
	budget := New(1000)
	if got := budget.RetryAfter(0, 100); got != maxRetryAfter {
		t.Errorf("%v with nothing released", got)
	}
	budget = New(1000)
	for second := range 60 {
		reservation := budget.Open()
		if !reservation.Admit(500) {
			t.Fatal("no room")
		}
		reservation.Release(time.Duration(second) * time.Second)
	}
	first := budget.RetryAfter(time.Minute, 500)
	if first < 500*time.Millisecond || first > 2*time.Second {
		t.Errorf("%v at 500 bytes a second for 500 bytes", first)
	}
	if second := budget.RetryAfter(time.Minute, 500); second <= first {
		t.Errorf("the second comes back after %v, the first after %v", second, first)
	}
}

// TestRefusedRequestsMakeNoRoom cancels reservations: that tells nothing of when memory becomes free.
func TestRefusedRequestsMakeNoRoom(t *testing.T) {
	budget := New(1000)
	reservation := budget.Open()
	if !reservation.Admit(500) {
		t.Fatal("no room")
	}
	reservation.Cancel()
	if got := budget.RetryAfter(0, 100); got != maxRetryAfter || budget.Reserved() != 0 {
		t.Errorf("%v, %d bytes reserved", got, budget.Reserved())
	}
}

// TestUnlimited refuses nothing without a limit.
func TestUnlimited(t *testing.T) {
	if !New(0).Open().Admit(1 << 40) {
		t.Error("refused")
	}
}
