// Package configuration holds the operator's configurations: their types, their validation, and the deltas
// between two of them. A Document is one configuration, split into the parts that a delta can carry one by
// one; it is immutable and may be shared between goroutines.
//
// ParseAndValidate is for what an operator sends, Parse for what was validated before. The package has no I/O
// and no state but the compiled schema, and imports nothing of the project but the messages' types (wirepb).
package configuration
