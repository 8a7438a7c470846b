//go:build debug

package held

const asserted = true
