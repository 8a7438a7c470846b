//go:build debug

package inflight

const asserted = true
