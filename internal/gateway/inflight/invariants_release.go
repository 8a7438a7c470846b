//go:build !debug

package inflight

const panicOnViolation = false
