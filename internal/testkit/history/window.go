package history

// Limit is how much may pass of a customer: in any window of t seconds no more than Rate t + Depth units. A
// Rate of 0 is no limit.
type Limit struct {
	Rate  float64 // units a second
	Depth float64 // units at once: burst, credit and what slack is granted, together
}

// Windowed is the result of Window.
type Windowed struct {
	Result
	Customers int     // that have a limit
	Most      float64 // part of a Depth that was used at once; over 1 is a break
	Unknown   int     // txns that came without a customer or units, and were asked for by none
}

// bucket is a customer's token bucket, and the window in which it was last full.
type bucket struct {
	left      float64 // units
	limit     Limit
	at        int64   // nanoseconds, of the last event
	fullSince Event   // at which the bucket was last full
	sum       float64 // units spent since then
}

// windowRequest is what events have said of a request so far.
type windowRequest struct {
	customer uint64
	plan     string
	units    float64
	counted  bool
}

// update takes over what an event says of the request.
func (r *windowRequest) update(e Event) {
	if e.Customer != 0 {
		r.customer = e.Customer
	}
	if e.Plan != "" {
		r.plan = e.Plan
	}
	if e.Units > 0 {
		r.units = e.Units
	}
}

// Window checks that in any window of time what all gatekeepers sent of a customer keeps within its limit,
// which is asked for each event of it: plan rate, and burst, credit and slack in its Depth. by is Got, what
// workers have seen, or Sends, what gatekeepers say; delays between the two count as if they sent in
// bunches, so the slack for Got has the rate times the longest delay in it. A txn counts when it comes
// first.
//
// It is exact and takes one pass: all windows keep within Rate t + Depth if and only if a bucket of Depth
// that leaks at Rate never flows over (the (sigma, rho) bound of Cruz 1991, its leaky bucket after Turner
// 1986; GCRA is the same in terms of times, ITU-T I.371). Where a limit changes, what is left stays, up to
// the new Depth, and grows by as much as the Depth does.
func Window(r Record, by Kind, limit func(Event) Limit) Windowed {
	var w Windowed
	txns := map[string]*windowRequest{}
	buckets := map[uint64]*bucket{}
	for _, e := range r.Events {
		if e.Kind != by && e.Kind != Asks && e.Kind != Sends {
			continue
		}
		t := txns[e.Txn]
		if t == nil {
			t = &windowRequest{}
			txns[e.Txn] = t
		}
		t.update(e)
		if e.Kind != by || t.counted {
			continue
		}
		w.Seen++
		t.counted = true
		if t.customer == 0 || t.units <= 0 {
			w.Unknown++
			continue
		}
		e.Customer, e.Plan, e.Units = t.customer, t.plan, t.units
		now := limit(e)
		if now.Rate <= 0 {
			delete(buckets, e.Customer)
			continue
		}
		f := buckets[e.Customer]
		if f == nil {
			f = &bucket{left: now.Depth, limit: now, at: e.At, fullSince: e}
			buckets[e.Customer] = f
			w.Customers++
		}
		w.spend(f, e, now)
	}
	return w
}

// spend takes an event's units from a customer's bucket under the limit that now applies, and records a
// violation where it overflows.
func (w *Windowed) spend(b *bucket, e Event, now Limit) {
	b.left += max(now.Depth-b.limit.Depth, 0) + max(b.limit.Rate, now.Rate)*millis(e.At-b.at)/1000
	if b.left >= now.Depth {
		b.left, b.fullSince, b.sum = now.Depth, e, 0
	}
	b.at, b.limit = e.At, now
	b.left -= e.Units
	b.sum += e.Units
	if now.Depth > 0 {
		w.Most = max(w.Most, 1-b.left/now.Depth)
	}
	if b.left < -unitTolerance {
		window := millis(e.At - b.fullSince.At)
		w.violate(e.At, []Event{b.fullSince, e},
			"customer %d: %.6g units in a window of %.3f ms, of %.6g a second and %.6g besides: %.6g over",
			e.Customer, b.sum, window, now.Rate, now.Depth, -b.left)
		b.left = 0
	}
}

// RateLimit checks hard ceilings as Window does: slack ms of the ceiling's rate pass besides, as long as news
// takes and a submission is on its way. ceiling gives the rate and depth of a customer's plan.
func RateLimit(r Record, by Kind, ceiling func(Event) Limit, slack float64) Windowed {
	return Window(r, by, func(e Event) Limit {
		l := ceiling(e)
		l.Depth += l.Rate * slack / 1000
		return l
	})
}
