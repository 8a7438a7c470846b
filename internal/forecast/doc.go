// Package forecast estimates what the loss of a region would cost if its neighbours served its customers,
// from the reports of gateways on themselves and the workers they see.
//
// It keeps no state except the counters of a Meter, does no I/O and reads no clock: the same reports give
// the same forecast, byte for byte. It uses the types of package policy and must not import packages that
// open sockets or files. A gateway fills a Report from its Meter and serves it at the admin port; the
// supervisor collects the reports and calls Project. Reports and forecasts are encoded as JSON. Their keys
// are set by struct tags and must not change.
// docs/outlook-design.md gives the reasons behind the model.
package forecast
