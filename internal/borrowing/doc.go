// Package borrowing decides how many units beyond its quota a gateway instance lends a customer (an escrowed
// burst), and when the customer's later refill repays them. It does no I/O and reads no clock: its caller
// passes the time, the policy's loan requests and the peers' entries, and executes the decisions that
// Lender.Next returns.
//
// A Lender has the accounts of one instance. A set of instances shares the quota of a customer. The
// customer's credit line is the number of units that it may have outstanding at all of them together,
// counted in parts of a unit. Each part is in one place at a time. It is at one instance of the set, either
// as a right, which that instance may still lend, or as a debt, which the customer has drawn there and not
// yet repaid; or it is in transit to another instance, and the sender has already deducted it. A loan turns
// rights into debt and a repayment turns debt into rights, both without asking a peer.
//
// This is the escrow method (O'Neil, The escrow transactional method, 1986) with rights that are transferred
// as in bounded counters (Balegas and others, Extending eventually consistent cloud databases for enforcing
// numeric invariants, 2015). There are three differences. Debts are transferred as well, and have a due time.
// No instance stores a matrix of all pairs: each pair of instances stores its own transfer counters, and one
// of them restores the counters that the other has lost. Parts that an earlier incarnation may have lent, of
// which no record is left, are presumed drawn; they become rights again, which is called earning, as refill
// that the customer leaves unused pays for them.
package borrowing
