package history

// Limit is how much may pass of a customer: in any window of t seconds no more than Rate t + Depth units. A
// Rate of 0 is no limit.
type Limit struct {
	Rate  float64 // units a second
	Depth float64 // units at once: burst, credit and what slack is granted, together
}

// Windowed is what Window finds.
type Windowed struct {
	Found
	Customers int     // that have a limit
	Most      float64 // part of a Depth that was used at once; over 1 is a break
	Unknown   int     // txns that came without a customer or units, and were asked for by none
}

// fill is how much a customer may pass now, and what of that the present window rests on.
type fill struct {
	left  float64
	limit Limit
	at    int64
	since Event   // with which it was last full
	sum   float64 // units since
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
	type asked struct {
		customer uint64
		plan     string
		units    float64
		came     bool
	}
	txns := map[string]*asked{}
	fills := map[uint64]*fill{}
	for _, e := range r.Events {
		if e.Kind != by && e.Kind != Asks && e.Kind != Sends {
			continue
		}
		t := txns[e.Txn]
		if t == nil {
			t = &asked{}
			txns[e.Txn] = t
		}
		if e.Customer != 0 {
			t.customer = e.Customer
		}
		if e.Plan != "" {
			t.plan = e.Plan
		}
		if e.Units > 0 {
			t.units = e.Units
		}
		if e.Kind != by || t.came {
			continue
		}
		w.Seen++
		t.came = true
		if t.customer == 0 || t.units <= 0 {
			w.Unknown++
			continue
		}
		e.Customer, e.Plan, e.Units = t.customer, t.plan, t.units
		now := limit(e)
		if now.Rate <= 0 {
			delete(fills, e.Customer)
			continue
		}
		f := fills[e.Customer]
		if f == nil {
			f = &fill{left: now.Depth, limit: now, at: e.At, since: e}
			fills[e.Customer] = f
			w.Customers++
		}
		f.left += max(now.Depth-f.limit.Depth, 0) + max(f.limit.Rate, now.Rate)*ms(e.At-f.at)/1000
		if f.left >= now.Depth {
			f.left, f.since, f.sum = now.Depth, e, 0
		}
		f.at, f.limit = e.At, now
		f.left -= e.Units
		f.sum += e.Units
		if now.Depth > 0 {
			w.Most = max(w.Most, 1-f.left/now.Depth)
		}
		if f.left < -crumb {
			t := ms(e.At - f.since.At)
			w.broken(e.At, []Event{f.since, e},
				"customer %d: %.6g units in a window of %.3f ms, of %.6g a second and %.6g besides: %.6g over",
				e.Customer, f.sum, t, now.Rate, now.Depth, -f.left)
			f.left = 0
		}
	}
	return w
}

// Ceiling checks hard ceilings as Window does: slack ms of the ceiling's rate pass besides, as long as news
// takes and a submission is on its way. ceiling gives the rate and depth of a customer's plan.
func Ceiling(r Record, by Kind, ceiling func(Event) Limit, slack float64) Windowed {
	return Window(r, by, func(e Event) Limit {
		l := ceiling(e)
		l.Depth += l.Rate * slack / 1000
		return l
	})
}
