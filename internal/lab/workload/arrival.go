package workload

// Arrival is one transaction as its client means to send it.
type Arrival struct {
	AtMillis  float64 // from the start of the run
	Customer  int     // number over all groups
	Plan      int     // index
	Product   int     // index
	Units     float64
	SetOffset int // which instance of the customer's set gets it: taken modulo the size of the set
}

// Group is a number of customers with the same plan and the same demand.
type Group struct {
	Plan, Customers int
	Rate            float64   // transactions a second that each customer offers, before shapes
	ProductWeights  []float64 // by index of the product
	MaxUnits        float64   // units of a transaction are drawn uniformly from 1 to this
	SetSize         int       // instances of a customer's set
	Skew            float64   // exponent of the Zipf distribution over the set; 0 is uniform
}
