// Package tallyhistory checks what callers of tallies observed: the adds that they sent and the totals that
// they read, together with the faults that were injected meanwhile. Check returns the violations of the rules
// TWICE, STALE, LOST and BACKWARDS.
//
// A history contains only what callers can observe, so it may come from simulated replicas or from real
// processes.
package tallyhistory
