// Package experiment runs experiments in the emulator: sweeps over policies, values of a figure and seeds, on
// all cores. Their rows are kept as CSV tables, drawn as charts, and compared; runs are checked against
// floors, and forecasts of the cost of losing regions against the played loss.
//
// The package owns the tables and charts that it writes, each replaced in one step. Results do not depend on
// the number of cores. It must not import the gateway.
package experiment
