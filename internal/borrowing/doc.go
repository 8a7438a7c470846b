// Package borrowing decides what a gateway instance lends a customer beyond its quota (an escrowed burst),
// and when that is repaid. It does no I/O and reads no clock: its caller passes the time, the policy's
// requests and the peers' entries, and executes the decisions that Lender.Next returns.
//
// It owns a Lender: the accounts of this instance. A customer's credit line is a number of parts of a unit.
// Each part is in one place at one time: at one instance of the customer's set, as a right that may be
// drawn or as a debt that is owed, or in transit to another, whose sender has already given it up. Drawing
// turns rights into debt and repaying turns debt into rights, both without asking a peer.
//
// This is the escrow method (O'Neil, The escrow transactional method, 1986) with rights handed on as in
// bounded counters (Balegas and others, Extending eventually consistent cloud databases for enforcing
// numeric invariants, 2015). What differs: debts move as well, and have a due time; there is no matrix of
// all pairs, as each pair of instances knows its own counters and either restores what the other has lost;
// and what an incarnation may have drawn that nobody remembers is presumed drawn, and earned back from fill
// that the customer leaves unused.
package borrowing
