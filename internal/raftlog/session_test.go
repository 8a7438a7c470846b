package raftlog

import (
	"testing"
)

// A response to a read of an earlier session must not confirm a read of this one: the read IDs differ.
func TestReadIDsDifferAcrossSessions(t *testing.T) {
	t.Parallel()
	group := newTestGroup(t, 1)
	seen := map[uint64]bool{}
	for range 3 {
		s := group.startNode("h0", nil)
		got := make(chan uint64, 1)
		group.waitUntil("it leads", func() bool { return group.leader() != nil })
		s.enqueue(func(v *session) { got <- v.lastReadID })
		n := <-got
		for i := range uint64(100) {
			if seen[n+i] || seen[n-i] {
				t.Fatalf("read ID %d is of an earlier session too", n)
			}
		}
		seen[n] = true
		group.stopNode("h0")
	}
}
