//go:build debug

package faults

// tags are what programs are built with: those of the tests that run them.
const tags = "debug"
