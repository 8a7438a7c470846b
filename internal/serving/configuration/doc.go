// Package configuration defines the configurations that operators send: their types, their validation, and
// the updates that change one into another. A Document is one configuration, split into parts, so that a
// delta carries only the parts that changed. It is immutable and may be shared between goroutines.
//
// ParseAndValidate is for a configuration that an operator sends, Parse for one that was validated before.
// The package does no I/O and has no state but the compiled schema. Of the project it imports only the
// message types (wirepb).
package configuration
