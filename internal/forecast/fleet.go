package forecast

import (
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/policy"
)

// fleet is the sum of the reports. Rates are per ms and times in ms. Regions, products and plans are
// numbered; a class is a pair of plan and product, numbered by plan, then by product.
type fleet struct {
	assumptions     Assumptions
	reports         []*Report
	settings        policy.Settings
	behaviour       policy.ModelParameters
	products, plans []string
	scale           float64  // factor on the reported rates, to make up for missing gateways
	unknown         []string // what could not be estimated, and why

	regions        []string         // names, sorted
	regionIndex    map[string]int   // index in regions by name
	gatewayRegions map[string][]int // by group: region of each gateway, -1 without a report

	gateways     []int       // gateways with a report in use, by region
	workers      []int       // by region: median of the reports
	warmWorkers  []float64   // capacity by region, in warmed-up workers: median of the reports
	requested    [][]float64 // by region of gateway and class
	flows        []Flow      // by class, over all gateways
	served       [][]float64 // answers by region of gateway and region of worker
	answerMillis [][]float64 // mean time of these answers
	// remoteMillis is, by region of gateway, the network delay to workers of other regions, averaged over all
	// its answers.
	remoteMillis []float64
	// windowCapacity is the sum of the gateways' windows, each divided among the regions of workers in
	// proportion to the gateway's answers from them.
	windowCapacity []float64
	inFlight       [][]int                     // attempts by region of gateway and region of worker
	credit         [][]float64                 // by region of gateway and plan: units that may still be borrowed
	reason         [policy.ReasonCount]float64 // rejections by reason
	serviceMillis  []float64                   // by product: core time of a request, without waits
	cores          float64                     // of each worker in the model; 0 if unknown
	serviceCV2     float64                     // squared coefficient of variation of the service time
	customerSets   [][]customerSet             // by plan
}

// customerSet is the demand of a plan's customers whose requests use the same consecutive gateways of a
// group, as one of these gateways reported it.
type customerSet struct {
	region           int     // region of the reporting gateway
	position         int     // index of the reporting gateway in the set
	demand           float64 // at the reporting gateway, units per second
	regions          []int   // of the set's gateways, in order; -1 for one without a report
	gatewaysByRegion []int   // number of the set's gateways by region
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

// addReports sums the reports in their order.
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

// addReport adds one gateway's report, unless its region is unknown.
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

// indexRegions numbers the regions that the reports name, at most MaxRegions.
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

// answerSums are sums over the reports that are needed only while the fleet is computed.
type answerSums struct {
	workers     [][]int      // by region: the count of each report
	warmWorkers [][]float64  // by region: the capacity of each report
	byProduct   [][4]float64 // sums of answers per ms, of rate x time, and of rate x mean square of time
	load        [2]float64   // sums of answer rates of regions with load reports, and of rate x CPU use
}

// addRegions adds the part of a report that describes workers; its gateway is in region g.
func (f *fleet) addRegions(w *Report, g int, sums *answerSums) {
	total := 0.0
	for _, h := range w.Regions {
		for _, a := range h.Answers {
			total += a.PerSecond
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
		regionRate := 0.0
		for p, a := range h.Answers {
			rate := a.PerSecond * f.scale / 1000
			f.served[g][x] += rate
			f.answerMillis[g][x] += rate * a.MeanMillis
			regionRate += a.PerSecond
			sums.byProduct[p][0] += rate
			sums.byProduct[p][1] += rate * a.MeanMillis
			sums.byProduct[p][2] += rate * (a.DeviationMillis*a.DeviationMillis + a.MeanMillis*a.MeanMillis)
		}
		if h.CPUUse >= 0 {
			sums.load[0] += regionRate
			sums.load[1] += regionRate * h.CPUUse
		}
		if total > 0 {
			f.windowCapacity[x] += w.Window * regionRate / total
		}
	}
}

// median returns the upper median of all, which it sorts; 0 if all is empty.
func median[T int | float64](all []T) (m T) {
	if len(all) > 0 {
		slices.Sort(all)
		m = all[len(all)/2]
	}
	return m
}

func (f *Flow) add(x Flow, scale float64) {
	f.Requested += x.Requested * scale / 1000
	f.Units += x.Units * scale / 1000
	f.Succeeded += x.Succeeded * scale / 1000
	f.Late += x.Late * scale / 1000
	f.Rejected += x.Rejected * scale / 1000
	f.Failed += x.Failed * scale / 1000
	f.Other += x.Other * scale / 1000
}

// estimateNetwork estimates the delay that the network between regions adds to answers: the difference
// between the answer times of a region's workers to gateways of other regions and to those of their own.
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

// estimateService estimates the core time of a request of each product. It uses the operators' rate per
// worker if set, else the workers' load reports, else the answer times at the rate at which workers answer.
// answers and load are the sums byProduct and load of answerSums.
func (f *fleet) estimateService(answers [][4]float64, load [2]float64) {
	rate, timeSum, squareSum, workers, remoteSum := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range answers {
		rate, timeSum, squareSum = rate+p[0], timeSum+p[1], squareSum+p[2]
	}
	for x := range f.regions {
		workers += f.warmWorkers[x]
		for g := range f.regions {
			remoteSum += f.served[g][x] * f.remoteMillis[g]
		}
	}
	if rate == 0 || workers == 0 {
		f.unknown = append(f.unknown, "work: no answer of a worker has been told, so no loss is reckoned")
		return
	}
	network := f.assumptions.NetworkMillis + remoteSum/rate
	mean := math.Max(timeSum/rate-network, timeSum/rate/10)
	variance := math.Max(squareSum/rate-timeSum/rate*timeSum/rate, 0)
	f.serviceCV2 = math.Min(variance/(mean*mean), 4)
	coresPerWorker, service := f.assumptions.WorkerCores, 0.0
	switch {
	case f.assumptions.WorkerPerSecond > 0:
		coresPerWorker = math.Max(coresPerWorker, 1)
		service = coresPerWorker * 1000 / f.assumptions.WorkerPerSecond
	case load[0] > 0 && load[1] > 0:
		coresPerWorker = math.Max(coresPerWorker, 1)
		service = coresPerWorker * load[1] / load[0] / (rate / workers)
	case coresPerWorker > 0:
		for range 8 { // the waits' variance is part of the answers' variance but not of the service time's
			service = solveService(coresPerWorker, f.serviceCV2, mean, rate/workers)
			waiting, wait := queueModel{coresPerWorker, service, f.serviceCV2}.wait(
				rate / workers * service / coresPerWorker)
			f.serviceCV2 = math.Min(math.Max(variance-(2*waiting-waiting*waiting)*wait*wait, 0)/(service*service), 4)
		}
	default:
		f.unknown = append(f.unknown, "room: worker_cores and worker_per_s are not stated and workers do not "+
			"tell how busy they are, so no loss is reckoned")
		return
	}
	f.cores = coresPerWorker
	f.estimateServiceByProduct(answers, service, network+math.Max(mean-service, 0))
}

// estimateServiceByProduct sets the service time of each product, so that their mean over all answers is
// meanMillis. otherMillis is the mean time that answers take on the network and in queues, which is assumed
// to be the same for all products.
func (f *fleet) estimateServiceByProduct(answers [][4]float64, meanMillis, otherMillis float64) {
	rate := 0.0
	for _, p := range answers {
		rate += p[0]
	}
	for _, p := range answers {
		service := meanMillis
		if p[0] > 0 {
			service = math.Max(p[1]/p[0]-otherMillis, meanMillis/10)
		}
		f.serviceMillis = append(f.serviceMillis, service)
	}
	sum := 0.0
	for p := range answers {
		sum += answers[p][0] * f.serviceMillis[p]
	}
	for p := range f.serviceMillis {
		f.serviceMillis[p] *= meanMillis * rate / sum
	}
}

// collectSets lists the reported sets of each plan, with the regions of their gateways.
func (f *fleet) collectSets() {
	// twice has at key 0 the regions of the group's gateways twice in a row, since sets wrap around.
	twice := map[int][]int{}
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
			position := (w.Index - s.FirstGateway + len(all)) % len(all)
			if position >= s.Size || s.DemandPerSecond <= 0 {
				continue // this gateway is not in the set, or has no demand of it
			}
			e := customerSet{g, position, s.DemandPerSecond, twice[0][s.FirstGateway : s.FirstGateway+s.Size],
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

// currentState returns the measured state of the fleet.
func (f *fleet) currentState() State {
	s := State{}
	for q, plan := range f.plans {
		unserved := 0.0
		for p := range f.products {
			x := &f.flows[q*len(f.products)+p]
			s.Value += 1000 * f.value(q, p) * (x.Succeeded - x.Late*(1-f.settings.Products[p].LateValueFraction))
			s.InTime += 1000 * (x.Succeeded - x.Late)
			s.Late += 1000 * x.Late
			unserved += 1000 * (x.Rejected + x.Failed + x.Other)
		}
		s.Rejected = append(s.Rejected, PlanRate{plan, unserved})
	}
	for x := range f.regions {
		h := f.stateOf(x)
		timeSum := 0.0
		for g := range f.regions {
			h.Succeeded += 1000 * f.served[g][x]
			timeSum += 1000 * f.served[g][x] * f.answerMillis[g][x]
			h.InFlight += f.inFlight[g][x]
		}
		if h.Succeeded > 0 {
			h.MeanMillis = timeSum / h.Succeeded
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

// stateOf returns the gateways and workers of a region, without its traffic.
func (f *fleet) stateOf(x int) RegionState {
	return RegionState{Name: f.regions[x], Gatekeepers: f.gateways[x], Workers: f.workers[x],
		WarmWorkers: f.warmWorkers[x],
		Utilization: -1}
}

// meanServiceMillis returns the mean core time of the requests that succeed now.
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

// limitDigits rounds each measurement to significant digits.
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
