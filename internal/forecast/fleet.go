package forecast

import (
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/policy"
)

// fleet is the sum of the reports. Rates are per ms here, times in ms; regions, products and plans go by
// index, classes by plan and product within.
type fleet struct {
	rules           Assumptions
	reports         []*Report
	settings        policy.Settings
	behaviour       policy.ModelParameters
	products, plans []string
	scale           float64
	unknown         []string

	regions        []string         // of regions, sorted
	regionIndex    map[string]int   // and their numbers
	gatewayRegions map[string][]int // by group: the region of each gateway, -1 where it is not heard

	gateways     []int       // gateways heard, by region
	workers      []int       // and workers, as most reports have it
	warmWorkers  []float64   // in warm workers
	requested    [][]float64 // by region of gateway, and sort
	flows        []Flow      // by sort, of all
	served       [][]float64 // by region of gateway and region of worker
	answerMillis [][]float64 // pace of these, ms
	// By region of gateway: what longer ways to other regions' workers add on average, ms.
	remoteMillis   []float64
	windowCapacity []float64   // windows' room, by region of worker as requests go now
	inFlight       [][]int     // by region of gateway and region of worker
	credit         [][]float64 // by region of gateway and plan, units that may be borrowed there
	reason         [policy.ReasonCount]float64
	serviceMillis  []float64 // by product: ms of a core that a request takes, without any wait
	cores          float64   // that each worker has, as estimated with; 0 where that is not known
	serviceCV2     float64
	customerSets   [][]customerSet // by plan
}

// customerSet is demand of a plan's customers that use some gateways in a row, as one of these reported
// it.
type customerSet struct {
	region           int     // region of the one that told of it, and its place in the ring
	position         int     //
	demand           float64 // of all of the plan that this gateway has told of: the part
	regions          []int   // of the gateways, around; -1 of one that is not heard
	gatewaysByRegion []int   // of them, by region
}

func (f *fleet) regionOf(name string) int {
	i, known := f.regionIndex[name]
	if !known {
		return -1
	}
	return i
}

// grid returns a matrix of zeros.
func grid[T any](rows, columns int) [][]T {
	all := make([][]T, rows)
	for i := range all {
		all[i] = make([]T, columns)
	}
	return all
}

// addReports adds the reports up, in their order.
func (f *fleet) addReports() {
	f.indexRegions()
	n, np, nq := len(f.regions), len(f.products), len(f.plans)
	f.gateways, f.workers, f.warmWorkers, f.windowCapacity = make([]int, n), make([]int, n), make([]float64,
		n), make([]float64, n)
	f.requested, f.flows, f.remoteMillis = grid[float64](n, np*nq), make([]Flow, np*nq), make([]float64, n)
	f.served, f.answerMillis, f.inFlight = grid[float64](n, n), grid[float64](n, n), grid[int](n, n)
	f.credit, f.customerSets = grid[float64](n, nq), make([][]customerSet, nq)
	sums := &answerSums{workers: make([][]int, n), warmWorkers: make([][]float64, n),
		byProduct: make([][4]float64, np)}
	for _, w := range f.reports {
		f.addReport(w, sums)
	}
	for x := range n {
		f.workers[x], f.warmWorkers[x] = median(sums.workers[x]), median(sums.warmWorkers[x])
		for g := range n {
			if f.served[g][x] > 0 {
				f.answerMillis[g][x] /= f.served[g][x]
			}
		}
	}
	for x, name := range f.regions {
		if f.gateways[x] > 0 && f.workers[x] == 0 {
			f.unknown = append(f.unknown, fmt.Sprintf("hall %s: gatekeepers stand there and no worker does; is it "+
				"named as discovery names it?", name))
		}
	}
	f.estimateNetwork()
	f.estimateService(sums.byProduct, sums.load)
	f.collectSets()
}

// addReport adds one gateway's report, unless its region is not known.
func (f *fleet) addReport(w *Report, sums *answerSums) {
	g := f.regionOf(w.Region)
	if g < 0 {
		return
	}
	f.gateways[g]++
	all := f.gatewayRegions[w.Group]
	for len(all) < w.Settings.GatewayCount {
		all = append(all, -1)
	}
	all[w.Index] = g
	f.gatewayRegions[w.Group] = all
	for i, x := range w.Flows {
		f.requested[g][i] += x.Requested * f.scale / 1000
		f.flows[i].add(x, f.scale)
	}
	for i, r := range w.RejectionsPerSecond {
		f.reason[i] += r * f.scale / 1000
	}
	for i, c := range w.Credit {
		f.credit[g][i] += c.Available
	}
	f.addRegions(w, g, sums)
}

// indexRegions numbers the regions that reports name, at most MaxRegions.
func (f *fleet) indexRegions() {
	for _, w := range f.reports {
		f.regions = append(f.regions, w.Region)
		for _, h := range w.Regions {
			f.regions = append(f.regions, h.Name)
		}
	}
	slices.Sort(f.regions)
	f.regions = slices.Compact(f.regions)
	if len(f.regions) > MaxRegions {
		f.unknown = append(f.unknown, fmt.Sprintf("halls: %d, only the first %d are looked at", len(f.regions),
			MaxRegions))
		f.regions = f.regions[:MaxRegions]
	}
	for i, h := range f.regions {
		f.regionIndex[h] = i
	}
}

// answerSums are sums over the reports that are needed only while they are added up.
type answerSums struct {
	workers     [][]int      // by region, as each report has it
	warmWorkers [][]float64  // likewise
	byProduct   [][4]float64 // answers per ms, their ms, and their squares
	load        [2]float64   // answers of workers that report load, and these times the load
}

// addRegions adds what a report of a gateway in region g says of the workers of all regions.
func (f *fleet) addRegions(w *Report, g int, sums *answerSums) {
	own := 0.0
	for _, h := range w.Regions {
		for _, a := range h.Answers {
			own += a.PerSecond
		}
	}
	for _, h := range w.Regions {
		x := f.regionOf(h.Name)
		if x < 0 {
			continue
		}
		sums.workers[x] = append(sums.workers[x], h.Workers)
		sums.warmWorkers[x] = append(sums.warmWorkers[x], h.WarmWorkers)
		f.inFlight[g][x] += h.InFlight
		sum := 0.0
		for p, a := range h.Answers {
			rate := a.PerSecond * f.scale / 1000
			f.served[g][x] += rate
			f.answerMillis[g][x] += rate * a.MeanMillis
			sum += a.PerSecond
			sums.byProduct[p][0] += rate
			sums.byProduct[p][1] += rate * a.MeanMillis
			sums.byProduct[p][2] += rate * (a.DeviationMillis*a.DeviationMillis + a.MeanMillis*a.MeanMillis)
		}
		if h.CPUUse >= 0 {
			sums.load[0] += sum
			sums.load[1] += sum * h.CPUUse
		}
		if own > 0 {
			f.windowCapacity[x] += w.Window * sum / own
		}
	}
}

// median returns the median; 0 of nothing.
func median[T int | float64](all []T) (m T) {
	if len(all) > 0 {
		slices.Sort(all)
		m = all[len(all)/2]
	}
	return m
}

func (f *Flow) add(x Flow, times float64) {
	f.Requested += x.Requested * times / 1000
	f.Units += x.Units * times / 1000
	f.Succeeded += x.Succeeded * times / 1000
	f.Late += x.Late * times / 1000
	f.Rejected += x.Rejected * times / 1000
	f.Failed += x.Failed * times / 1000
	f.Other += x.Other * times / 1000
}

// estimateNetwork estimates what the network between regions adds to an answer, from the answer times
// beside those in the same region.
func (f *fleet) estimateNetwork() {
	for g := range f.regions {
		sum, all := 0.0, 0.0
		for x := range f.regions {
			if f.served[g][x] > 0 && f.answerMillis[x][x] > 0 {
				sum += f.served[g][x] * math.Max(f.answerMillis[g][x]-f.answerMillis[x][x], 0)
				all += f.served[g][x]
			}
		}
		if all > 0 {
			f.remoteMillis[g] = sum / all
		}
	}
}

// estimateService estimates the core time of a request of each product: by workers' reports of their load,
// by what operators state, or else from answer times at the rate at which workers answer.
func (f *fleet) estimateService(pace [][4]float64, busy [2]float64) {
	rate, took, squares, able, far := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range pace {
		rate, took, squares = rate+p[0], took+p[1], squares+p[2]
	}
	for x := range f.regions {
		able += f.warmWorkers[x]
		for g := range f.regions {
			far += f.served[g][x] * f.remoteMillis[g]
		}
	}
	if rate == 0 || able == 0 {
		f.unknown = append(f.unknown, "work: no answer of a worker has been told, so no loss is reckoned")
		return
	}
	way := f.rules.NetworkMillis + far/rate
	mean := math.Max(took/rate-way, took/rate/10)
	varies := math.Max(squares/rate-took/rate*took/rate, 0)
	f.serviceCV2 = math.Min(varies/(mean*mean), 4)
	k, s := f.rules.WorkerCores, 0.0
	switch {
	case f.rules.WorkerPerSecond > 0:
		k = math.Max(k, 1)
		s = k * 1000 / f.rules.WorkerPerSecond
	case busy[0] > 0 && busy[1] > 0:
		k = math.Max(k, 1)
		s = k * busy[1] / busy[0] / (rate / able)
	case k > 0:
		for range 8 { // waits spread answers, too: that part is no spread of the work
			s = solveService(k, f.serviceCV2, mean, rate/able)
			chance, wait := queueModel{k, s, f.serviceCV2}.wait(rate / able * s / k)
			f.serviceCV2 = math.Min(math.Max(varies-(2*chance-chance*chance)*wait*wait, 0)/(s*s), 4)
		}
	default:
		f.unknown = append(f.unknown, "room: worker_cores and worker_per_s are not stated and workers do not "+
			"tell how busy they are, so no loss is reckoned")
		return
	}
	f.cores = k
	f.estimateServiceByProduct(pace, s, way+math.Max(mean-s, 0))
}

// estimateServiceByProduct sets the service time of each product, whose mean over all is meanMillis. Of an
// answer's time otherMillis are the way and the wait, of which a product's are all products' mean.
func (f *fleet) estimateServiceByProduct(pace [][4]float64, meanMillis, otherMillis float64) {
	rate := 0.0
	for _, p := range pace {
		rate += p[0]
	}
	for _, p := range pace {
		one := meanMillis
		if p[0] > 0 {
			one = math.Max(p[1]/p[0]-otherMillis, meanMillis/10)
		}
		f.serviceMillis = append(f.serviceMillis, one)
	}
	sum := 0.0
	for p := range pace {
		sum += pace[p][0] * f.serviceMillis[p]
	}
	for p := range f.serviceMillis {
		f.serviceMillis[p] *= meanMillis * rate / sum
	}
}

// collectSets lists whose sets have gateways in which regions.
func (f *fleet) collectSets() {
	twice := map[int][]int{} // by first: a group's regions, gone round
	group := ""
	for _, w := range f.reports {
		all := f.gatewayRegions[w.Group]
		g := f.regionOf(w.Region)
		if g < 0 {
			continue
		}
		if group != w.Group {
			clear(twice)
			group = w.Group
		}
		if twice[0] == nil {
			twice[0] = append(slices.Clone(all), all...)
		}
		for _, s := range w.Sets {
			place := (w.Index - s.FirstGateway + len(all)) % len(all)
			if place >= s.Size || s.DemandPerSecond <= 0 {
				continue // no set of its own
			}
			e := customerSet{g, place, s.DemandPerSecond, twice[0][s.FirstGateway : s.FirstGateway+s.Size],
				make([]int, len(f.regions))}
			for _, h := range e.regions {
				if h >= 0 {
					e.gatewaysByRegion[h]++
				}
			}
			f.customerSets[s.Plan] = append(f.customerSets[s.Plan], e)
		}
	}
}

// currentState is how the fleet serves, as measured.
func (f *fleet) currentState() State {
	s := State{}
	for q, plan := range f.plans {
		d := 0.0
		for p := range f.products {
			x := &f.flows[q*len(f.products)+p]
			s.Value += 1000 * f.value(q, p) * (x.Succeeded - x.Late*(1-f.settings.Products[p].LateValueFraction))
			s.InTime += 1000 * (x.Succeeded - x.Late)
			s.Late += 1000 * x.Late
			d += 1000 * (x.Rejected + x.Failed + x.Other)
		}
		s.Rejected = append(s.Rejected, PlanRate{plan, d})
	}
	for x := range f.regions {
		h := f.stateOf(x)
		took := 0.0
		for g := range f.regions {
			h.Succeeded += 1000 * f.served[g][x]
			took += 1000 * f.served[g][x] * f.answerMillis[g][x]
			h.InFlight += f.inFlight[g][x]
		}
		if h.Succeeded > 0 {
			h.MeanMillis = took / h.Succeeded
		}
		if f.cores > 0 && h.WarmWorkers > 0 {
			h.Utilization = h.Succeeded / 1000 * f.meanServiceMillis() / (h.WarmWorkers * f.cores)
		}
		for i := range f.requested[x] {
			h.Requested += 1000 * f.requested[x][i]
		}
		h.WindowCapacity = f.windowCapacity[x]
		s.Regions = append(s.Regions, h)
	}
	s.limitDigits()
	return s
}

func (f *fleet) stateOf(x int) RegionState {
	return RegionState{Name: f.regions[x], Gatekeepers: f.gateways[x], Workers: f.workers[x],
		WarmWorkers: f.warmWorkers[x],
		Utilization: -1}
}

// meanServiceMillis is the mean core time of a request, over those answered now.
func (f *fleet) meanServiceMillis() float64 {
	sum, all := 0.0, 0.0
	for i := range f.flows {
		sum += f.flows[i].Succeeded * f.serviceMillis[i%len(f.products)]
		all += f.flows[i].Succeeded
	}
	if all == 0 {
		return 0
	}
	return sum / all
}

func (f *fleet) value(plan, product int) float64 {
	return f.settings.Products[product].Value * f.settings.Plans[plan].ValueFactor
}

func (s *State) limitDigits() {
	s.Value, s.InTime, s.Late = toSignificantDigits(s.Value), toSignificantDigits(s.InTime),
		toSignificantDigits(s.Late)
	for i := range s.Rejected {
		s.Rejected[i].Rate = toSignificantDigits(s.Rejected[i].Rate)
	}
	for i := range s.Regions {
		h := &s.Regions[i]
		for _, v := range []*float64{&h.WarmWorkers, &h.Requested, &h.Succeeded, &h.Utilization, &h.MeanMillis,
			&h.WindowCapacity} {
			*v = toSignificantDigits(*v)
		}
	}
}
