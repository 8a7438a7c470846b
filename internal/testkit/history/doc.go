// Package history records what processes did and checks the records afterwards.
//
// Each process, fake and client writes a record of its own (Log to a file, Memory in tests) of Events; Read
// merges a directory of records by time. The checks run over a merged Record and return the violations that
// they found with the events that prove them: Versions (the version in force is one register), Contradiction
// (no two gateways act on contradicting versions for long), Window and Ceiling (rate limits), Ledger and
// LedgerOrder (borrowed bursts), HeardTwice (messages), and CheckInvariants, which hands the record to the
// test kit's invariants.
//
// A Log owns its file. The records' file form, one JSON line an event, is fixed: docs/history.md. Of this
// module the package imports the ruleset and the test kit's invariants, and no part of the gateway.
package history
