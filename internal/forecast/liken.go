package forecast

// Likeness is a fleet as words show it, for who would play it: what an emulator has to be told.
type Likeness struct {
	Gatekeepers int
	Halls       []string
	Workers     []int // by hall
	CV2         float64
	Service     []float64 // by product, ms of a core
	Across      float64   // ms more for an answer of a worker in another hall
	Window      float64   // of a gatekeeper, on average
	Plans       []PlanLikeness
}

// PlanLikeness is a plan's customers.
type PlanLikeness struct {
	Customers, Asked, Size float64 // asked: txns a second that clients mean to send
	Spread                 int     // gatekeepers of most sets
	Products               []float64
}

// Liken gives what words that have passed Check show; nil where there is no word, or no worker's answer.
func Liken(words []*Word, r Rules) *Likeness {
	o := &Outlook{Rules: r, Scaled: 1}
	used := o.sift(words)
	if len(used) == 0 {
		return nil
	}
	f := o.gather(used)
	if f.cores == 0 {
		return nil
	}
	l := &Likeness{Gatekeepers: f.charter.GatewayCount, Halls: f.names, Workers: f.workers, CV2: f.cv2,
		Service: f.usual}
	ways, runs := 0.0, 0.0
	for g := range f.names {
		for x := range f.names {
			if g != x {
				ways += f.run[g][x] * (f.took[g][x] - f.took[x][x])
				runs += f.run[g][x]
			}
		}
	}
	if runs > 0 {
		l.Across = max(ways/runs, 0)
	}
	for _, w := range used {
		l.Window += w.Window / float64(len(used))
	}
	for q := range f.plans {
		p := PlanLikeness{Products: make([]float64, len(f.products))}
		units, tried, most := 0.0, 0.0, map[int]float64{}
		for k := range f.products {
			i := q*len(f.products) + k
			p.Products[k] = 1000 * f.flows[i].Asked * f.first(i)
			p.Asked += p.Products[k]
			units, tried = units+f.flows[i].Units, tried+f.flows[i].Asked
		}
		p.Size = units / max(tried, 1e-12)
		for _, w := range used {
			p.Customers += w.Customers[q].Customers * f.scaled
		}
		for _, e := range f.rings[q] {
			most[len(e.halls)] += e.demand
		}
		for n := 1; n <= l.Gatekeepers; n++ {
			if p.Spread == 0 && most[n] > 0 || most[n] > most[p.Spread] {
				p.Spread = n
			}
		}
		l.Plans = append(l.Plans, p)
	}
	return l
}
