// Package capacity compares what each role needs at the planned size with the limits that the operators
// state. It reads measurements over sizes (CSV tables and the output of benchmarks) and a spec, fits each
// figure with package regression, and writes the tables of a page in docs, a page of all fits, and a chart.
//
// The package has no state: BuildReport reads its inputs anew each time, and a page is current if Update with
// checkOnly finds no difference. It must not import what it reports on; packages that measure hand it rows.
package capacity
