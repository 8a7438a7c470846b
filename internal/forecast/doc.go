// Package forecast estimates what the loss of a region would cost if its neighbours served its customers,
// from the reports of gateways on themselves and the workers they see.
//
// It owns no state but a Meter's counters, does no I/O and reads no clock: the same reports give the same
// forecast, byte for byte. It imports the policy's types and must not import sockets or files. A gateway
// fills a Report by its Meter and serves it at the operators' port; the supervisor gathers reports and
// calls Project. Reports and forecasts are JSON, whose keys are tags and never change.
// docs/outlook-design.md gives the reasons behind the model.
package forecast
