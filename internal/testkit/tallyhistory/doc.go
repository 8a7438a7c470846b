// Package tallyhistory checks what callers of tallies have seen: the adds that they sent, the totals that
// they read, and the faults that were injected meanwhile. Check returns the violations of the rules TWICE,
// STALE, LOST and BACKWARDS.
//
// The history is that of the callers alone, so it may come from simulated replicas and from real processes.
package tallyhistory
