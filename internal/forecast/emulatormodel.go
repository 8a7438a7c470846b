package forecast

// EmulatorModel is a fleet as reports show it, in the terms of the emulator's scenarios.
type EmulatorModel struct {
	Gatekeepers       int
	Regions           []string
	WorkersByRegion   []int // by region
	ServiceCV2        float64
	ServiceMillis     []float64 // by product, of a core
	CrossRegionMillis float64   // added to an answer of a worker in another region
	MeanWindow        float64   // of a gateway
	Plans             []PlanModel
}

// PlanModel is a plan's customers.
type PlanModel struct {
	Customers, Requested, MeanUnits float64 // Requested: per second, first attempts
	SetSize                         int     // gateways of the most common set
	RequestsByProduct               []float64
}

// NewEmulatorModel derives a model from validated reports; nil where there is no report, or no worker's
// answer.
func NewEmulatorModel(words []*Report, r Assumptions) *EmulatorModel {
	o := &Forecast{Assumptions: r, Scale: 1}
	used := o.selectReports(words)
	if len(used) == 0 {
		return nil
	}
	f := o.newFleet(used)
	if f.cores == 0 {
		return nil
	}
	l := &EmulatorModel{Gatekeepers: f.settings.GatewayCount, Regions: f.regions, WorkersByRegion: f.workers,
		ServiceCV2:    f.serviceCV2,
		ServiceMillis: f.serviceMillis}
	l.CrossRegionMillis = f.crossRegionMillis()
	for _, w := range used {
		l.MeanWindow += w.Window / float64(len(used))
	}
	for q := range f.plans {
		l.Plans = append(l.Plans, f.planModel(q, used))
	}
	return l
}

// crossRegionMillis returns how much longer answers take from another region, on average; 0 where none came.
func (f *fleet) crossRegionMillis() float64 {
	ways, runs := 0.0, 0.0
	for g := range f.regions {
		for x := range f.regions {
			if g != x {
				ways += f.served[g][x] * (f.answerMillis[g][x] - f.answerMillis[x][x])
				runs += f.served[g][x]
			}
		}
	}
	if runs > 0 {
		return max(ways/runs, 0)
	}
	return 0
}

// planModel returns the model of a plan by the reports in use.
func (f *fleet) planModel(q int, used []*Report) PlanModel {
	p := PlanModel{RequestsByProduct: make([]float64, len(f.products))}
	units, tried, most := 0.0, 0.0, map[int]float64{}
	for k := range f.products {
		i := q*len(f.products) + k
		p.RequestsByProduct[k] = 1000 * f.flows[i].Requested * f.firstAttemptShare(i)
		p.Requested += p.RequestsByProduct[k]
		units, tried = units+f.flows[i].Units, tried+f.flows[i].Requested
	}
	p.MeanUnits = units / max(tried, 1e-12)
	for _, w := range used {
		p.Customers += w.Customers[q].Customers * f.scale
	}
	for _, e := range f.customerSets[q] {
		most[len(e.regions)] += e.demand
	}
	for n := 1; n <= f.settings.GatewayCount; n++ {
		if p.SetSize == 0 && most[n] > 0 || most[n] > most[p.SetSize] {
			p.SetSize = n
		}
	}
	return p
}
