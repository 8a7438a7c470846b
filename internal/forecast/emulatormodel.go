package forecast

// EmulatorModel describes a fleet, as reports show it, by the parameters of the emulator's scenarios.
type EmulatorModel struct {
	Gatekeepers       int
	Regions           []string
	WorkersByRegion   []int     // in the order of Regions
	ServiceCV2        float64   // squared coefficient of variation of the service time
	ServiceMillis     []float64 // core time of a request, by product
	CrossRegionMillis float64   // added to the answer time of a worker in another region
	MeanWindow        float64   // congestion window of a gateway
	Plans             []PlanModel
}

// PlanModel describes a plan's customers and their requests.
type PlanModel struct {
	Customers, Requested, MeanUnits float64   // Requested: requests per second; MeanUnits: per request
	SetSize                         int       // gateways per customer: the size with the most demand
	RequestsByProduct               []float64 // per second
}

// NewEmulatorModel derives a model from validated reports. It returns nil if no report is usable or the
// workers' service time cannot be estimated.
func NewEmulatorModel(reports []*Report, r Assumptions) *EmulatorModel {
	o := &Forecast{Assumptions: r, Scale: 1}
	used := o.selectReports(reports)
	if len(used) == 0 {
		return nil
	}
	f := o.newFleet(used)
	if f.cores == 0 {
		return nil
	}
	model := &EmulatorModel{Gatekeepers: f.settings.GatewayCount, Regions: f.regions, WorkersByRegion: f.workers,
		ServiceCV2:    f.serviceCV2,
		ServiceMillis: f.serviceMillis}
	model.CrossRegionMillis = f.crossRegionMillis()
	for _, w := range used {
		model.MeanWindow += w.Window / float64(len(used))
	}
	for q := range f.plans {
		model.Plans = append(model.Plans, f.planModel(q, used))
	}
	return model
}

// crossRegionMillis returns how much longer answers from other regions take on average; 0 if there were none.
func (f *fleet) crossRegionMillis() float64 {
	extraMillis, answers := 0.0, 0.0
	for g := range f.regions {
		for x := range f.regions {
			if g != x {
				extraMillis += f.served[g][x] * (f.answerMillis[g][x] - f.answerMillis[x][x])
				answers += f.served[g][x]
			}
		}
	}
	if answers > 0 {
		return max(extraMillis/answers, 0)
	}
	return 0
}

// planModel returns the model of a plan derived from the reports in use.
func (f *fleet) planModel(q int, used []*Report) PlanModel {
	p := PlanModel{RequestsByProduct: make([]float64, len(f.products))}
	units, attempts, demandBySize := 0.0, 0.0, map[int]float64{}
	for k := range f.products {
		i := q*len(f.products) + k
		p.RequestsByProduct[k] = 1000 * f.flows[i].Requested * f.firstAttemptShare(i)
		p.Requested += p.RequestsByProduct[k]
		units, attempts = units+f.flows[i].Units, attempts+f.flows[i].Requested
	}
	p.MeanUnits = units / max(attempts, 1e-12)
	for _, w := range used {
		p.Customers += w.Customers[q].Customers * f.scale
	}
	for _, e := range f.customerSets[q] {
		demandBySize[len(e.regions)] += e.demand
	}
	for n := 1; n <= f.settings.GatewayCount; n++ {
		if p.SetSize == 0 && demandBySize[n] > 0 || demandBySize[n] > demandBySize[p.SetSize] {
			p.SetSize = n
		}
	}
	return p
}
