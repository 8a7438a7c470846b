package loadgen

import (
	"errors"
	"fmt"
	"net"
	"time"

	"willowdeck/internal/lab/workload"
)

// Product is what a request needs to know of a product.
type Product struct {
	Name        string        // path of the request
	Idempotency string        // IdempotencyInquiry, IdempotencyReferenced or IdempotencyOnce
	Timeout     time.Duration // how long the client waits, from when the request is due
	BodyBytes   int           // size of the body; inquiries have none
}

// The values of Product.Idempotency.
const (
	IdempotencyInquiry    = "inquiry"    // a GET
	IdempotencyReferenced = "referenced" // a POST with an Idempotency-Key
	IdempotencyOnce       = "once"       // a POST that may run at most once
)

// Load is what is sent, and to whom.
type Load struct {
	Arrivals          []workload.Arrival
	Targets           []string // host:port of each gateway instance, by number
	SetSize           int      // instances of a customer's set
	Plans             []string // names, by index
	Products          []Product
	MaxInFlight       int   // requests in flight at once; one that is due beyond them counts as NotSent
	ClosedLoopClients int   // above zero: that many clients in a closed loop, in place of the schedule alone
	Seed              int64 // of identifiers and bodies

	// OnOutcome, if not nil, is called with the outcome of each request, by its index in Arrivals, as it is
	// known. Calls do not overlap.
	OnOutcome func(i int, o Outcome, latency time.Duration)

	// CredentialHeader, if not empty, names the header that carries the customer's credential.
	CredentialHeader string
}

// Validate returns an error that names the first invalid field.
func (l *Load) Validate() error {
	switch {
	case len(l.Targets) == 0:
		return errors.New("targets: there is none")
	case l.SetSize < 1 || l.SetSize > len(l.Targets):
		return fmt.Errorf("spread: %d of %d targets", l.SetSize, len(l.Targets))
	case l.MaxInFlight < 1 && l.ClosedLoopClients < 1:
		return fmt.Errorf("most: %d requests out at once", l.MaxInFlight)
	}
	for i, t := range l.Targets {
		if _, _, err := net.SplitHostPort(t); err != nil {
			return fmt.Errorf("targets[%d]: %w", i, err)
		}
	}
	for i, a := range l.Arrivals {
		if a.Plan >= len(l.Plans) || a.Product >= len(l.Products) {
			return fmt.Errorf("arrival %d: plan or product is unknown", i)
		}
	}
	return nil
}
