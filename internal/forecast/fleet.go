package forecast

import (
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/policy"
)

// fleet is what the words add up to. Rates are txns an ms in here, times ms; halls, products and plans go by
// number, sorts by plan and product in it.
type fleet struct {
	rules           Rules
	words           []*Word
	charter         policy.Settings
	manner          policy.ModelParameters
	products, plans []string
	scaled          float64
	unknown         []string

	names  []string         // of halls, sorted
	at     map[string]int   // and their numbers
	stands map[string][]int // by group: the hall of each gatekeeper, -1 where it is not heard

	keepers []int       // gatekeepers heard, by hall
	workers []int       // and workers, as most words have it
	able    []float64   // in warm workers
	asked   [][]float64 // by hall of gatekeeper, and sort
	flows   []Flow      // by sort, of all
	run     [][]float64 // by hall of gatekeeper and hall of worker
	took    [][]float64 // pace of these, ms
	away    []float64   // by hall of gatekeeper: what longer ways to other halls' workers add on average, ms
	room    []float64   // windows' room, by hall of worker as txns go now
	inHand  [][]int     // by hall of gatekeeper and hall of worker
	credit  [][]float64 // by hall of gatekeeper and plan, units that may be borrowed there
	reason  [policy.ReasonCount]float64
	usual   []float64 // by product: ms of a core that a txn takes, without any wait
	cores   float64   // that each worker has, as reckoned with; 0 where that is not known
	cv2     float64
	rings   [][]ring // by plan
}

// ring is demand of a plan's customers that come through some gatekeepers in a row, as one of them told it.
type ring struct {
	from   int     // hall of the one that told of it, and its place in the ring
	place  int     //
	demand float64 // of all of the plan that this gatekeeper has told of: the part
	halls  []int   // of the gatekeepers, around; -1 of one that is not heard
	counts []int   // of them, by hall
}

func (f *fleet) hall(name string) int {
	i, known := f.at[name]
	if !known {
		return -1
	}
	return i
}

// grid makes rows of figures for all halls.
func grid[T any](rows, columns int) [][]T {
	all := make([][]T, rows)
	for i := range all {
		all[i] = make([]T, columns)
	}
	return all
}

// add adds the words up, in their order.
func (f *fleet) add() {
	for _, w := range f.words {
		f.names = append(f.names, w.Hall)
		for _, h := range w.Halls {
			f.names = append(f.names, h.Name)
		}
	}
	slices.Sort(f.names)
	f.names = slices.Compact(f.names)
	if len(f.names) > MostHalls {
		f.unknown = append(f.unknown, fmt.Sprintf("halls: %d, only the first %d are looked at", len(f.names),
			MostHalls))
		f.names = f.names[:MostHalls]
	}
	n, np, nq := len(f.names), len(f.products), len(f.plans)
	for i, h := range f.names {
		f.at[h] = i
	}
	f.keepers, f.workers, f.able, f.room = make([]int, n), make([]int, n), make([]float64, n), make([]float64, n)
	f.asked, f.flows, f.away = grid[float64](n, np*nq), make([]Flow, np*nq), make([]float64, n)
	f.run, f.took, f.inHand = grid[float64](n, n), grid[float64](n, n), grid[int](n, n)
	f.credit, f.rings = grid[float64](n, nq), make([][]ring, nq)
	counts, able := make([][]int, n), make([][]float64, n)
	pace := make([][4]float64, np) // by product: answers an ms, their ms, squares, and answers in the same hall
	busy := [2]float64{}
	for _, w := range f.words {
		g := f.hall(w.Hall)
		if g < 0 {
			continue
		}
		f.keepers[g]++
		all := f.stands[w.Group]
		for len(all) < w.Charter.GatewayCount {
			all = append(all, -1)
		}
		all[w.Number] = g
		f.stands[w.Group] = all
		for i, x := range w.Flows {
			f.asked[g][i] += x.Asked * f.scaled / 1000
			f.flows[i].add(x, f.scaled)
		}
		for i, r := range w.Reasons {
			f.reason[i] += r * f.scaled / 1000
		}
		for i, c := range w.Credit {
			f.credit[g][i] += c.Rights
		}
		mine := 0.0
		for _, h := range w.Halls {
			for _, a := range h.Answers {
				mine += a.PerS
			}
		}
		for _, h := range w.Halls {
			x := f.hall(h.Name)
			if x < 0 {
				continue
			}
			counts[x], able[x] = append(counts[x], h.Workers), append(able[x], h.Able)
			f.inHand[g][x] += h.InHand
			sum := 0.0
			for p, a := range h.Answers {
				rate := a.PerS * f.scaled / 1000
				f.run[g][x] += rate
				f.took[g][x] += rate * a.Pace
				sum += a.PerS
				pace[p][0] += rate
				pace[p][1] += rate * a.Pace
				pace[p][2] += rate * (a.Spread*a.Spread + a.Pace*a.Pace)
			}
			if h.Busy >= 0 {
				busy[0] += sum
				busy[1] += sum * h.Busy
			}
			if mine > 0 {
				f.room[x] += w.Window * sum / mine
			}
		}
	}
	for x := range n {
		f.workers[x], f.able[x] = middle(counts[x]), middle(able[x])
		for g := range n {
			if f.run[g][x] > 0 {
				f.took[g][x] /= f.run[g][x]
			}
		}
	}
	for x, name := range f.names {
		if f.keepers[x] > 0 && f.workers[x] == 0 {
			f.unknown = append(f.unknown, fmt.Sprintf("hall %s: gatekeepers stand there and no worker does; is it "+
				"named as discovery names it?", name))
		}
	}
	f.ways()
	f.work(pace, busy)
	f.reach()
}

// middle gives the median.
func middle[T int | float64](all []T) (m T) {
	if len(all) > 0 {
		slices.Sort(all)
		m = all[len(all)/2]
	}
	return m
}

func (f *Flow) add(x Flow, times float64) {
	f.Asked += x.Asked * times / 1000
	f.Units += x.Units * times / 1000
	f.Settled += x.Settled * times / 1000
	f.Late += x.Late * times / 1000
	f.Declined += x.Declined * times / 1000
	f.Voided += x.Voided * times / 1000
	f.Other += x.Other * times / 1000
}

// ways reckons what the ways between halls add to an answer, from paces beside those in the same hall.
func (f *fleet) ways() {
	for g := range f.names {
		sum, all := 0.0, 0.0
		for x := range f.names {
			if f.run[g][x] > 0 && f.took[x][x] > 0 {
				sum += f.run[g][x] * math.Max(f.took[g][x]-f.took[x][x], 0)
				all += f.run[g][x]
			}
		}
		if all > 0 {
			f.away[g] = sum / all
		}
	}
}

// work reckons what a txn of each product takes of a worker's cores: by workers' own word on how busy they
// are, by what operators state, or else from paces at the rate at which workers answer.
func (f *fleet) work(pace [][4]float64, busy [2]float64) {
	rate, took, squares, able, far := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range pace {
		rate, took, squares = rate+p[0], took+p[1], squares+p[2]
	}
	for x := range f.names {
		able += f.able[x]
		for g := range f.names {
			far += f.run[g][x] * f.away[g]
		}
	}
	if rate == 0 || able == 0 {
		f.unknown = append(f.unknown, "work: no answer of a worker has been told, so no loss is reckoned")
		return
	}
	way := f.rules.Way + far/rate
	mean := math.Max(took/rate-way, took/rate/10)
	varies := math.Max(squares/rate-took/rate*took/rate, 0)
	f.cv2 = math.Min(varies/(mean*mean), 4)
	k, s := f.rules.Cores, 0.0
	switch {
	case f.rules.PerS > 0:
		k = math.Max(k, 1)
		s = k * 1000 / f.rules.PerS
	case busy[0] > 0 && busy[1] > 0:
		k = math.Max(k, 1)
		s = k * busy[1] / busy[0] / (rate / able)
	case k > 0:
		for range 8 { // waits spread answers, too: that part is no spread of the work
			s = service(k, f.cv2, mean, rate/able)
			chance, wait := servers{k, s, f.cv2}.wait(rate / able * s / k)
			f.cv2 = math.Min(math.Max(varies-(2*chance-chance*chance)*wait*wait, 0)/(s*s), 4)
		}
	default:
		f.unknown = append(f.unknown, "room: worker_cores and worker_per_s are not stated and workers do not "+
			"tell how busy they are, so no loss is reckoned")
		return
	}
	f.cores = k
	for _, p := range pace {
		one := s
		if p[0] > 0 { // a product's wait is all products' mean
			one = math.Max(p[1]/p[0]-way-math.Max(mean-s, 0), s/10)
		}
		f.usual = append(f.usual, one)
	}
	sum := 0.0
	for p := range pace {
		sum += pace[p][0] * f.usual[p]
	}
	for p := range f.usual {
		f.usual[p] *= s * rate / sum
	}
}

// reach lists whose sets have gatekeepers in which halls.
func (f *fleet) reach() {
	twice := map[int][]int{} // by first: a group's halls, gone round
	group := ""
	for _, w := range f.words {
		all := f.stands[w.Group]
		g := f.hall(w.Hall)
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
			place := (w.Number - s.FirstGateway + len(all)) % len(all)
			if place >= s.Size || s.DemandPerSecond <= 0 {
				continue // no set of its own
			}
			e := ring{g, place, s.DemandPerSecond, twice[0][s.FirstGateway : s.FirstGateway+s.Size],
				make([]int, len(f.names))}
			for _, h := range e.halls {
				if h >= 0 {
					e.counts[h]++
				}
			}
			f.rings[s.Plan] = append(f.rings[s.Plan], e)
		}
	}
}

// now is how the fleet does, as measured.
func (f *fleet) now() State {
	s := State{}
	for q, plan := range f.plans {
		d := 0.0
		for p := range f.products {
			x := &f.flows[q*len(f.products)+p]
			s.Value += 1000 * f.worth(q, p) * (x.Settled - x.Late*(1-f.charter.Products[p].LateValueFraction))
			s.InTime += 1000 * (x.Settled - x.Late)
			s.Late += 1000 * x.Late
			d += 1000 * (x.Declined + x.Voided + x.Other)
		}
		s.Declined = append(s.Declined, Named{plan, d})
	}
	for x := range f.names {
		h := f.stateOf(x)
		took := 0.0
		for g := range f.names {
			h.Run += 1000 * f.run[g][x]
			took += 1000 * f.run[g][x] * f.took[g][x]
			h.InHand += f.inHand[g][x]
		}
		if h.Run > 0 {
			h.Pace = took / h.Run
		}
		if f.cores > 0 && h.Able > 0 {
			h.Use = h.Run / 1000 * f.mean() / (h.Able * f.cores)
		}
		for i := range f.asked[x] {
			h.Asked += 1000 * f.asked[x][i]
		}
		h.Room = f.room[x]
		s.Halls = append(s.Halls, h)
	}
	s.round()
	return s
}

func (f *fleet) stateOf(x int) HallState {
	return HallState{Name: f.names[x], Gatekeepers: f.keepers[x], Workers: f.workers[x], Able: f.able[x],
		Use: -1}
}

// mean is what a usual txn takes of a core, ms, over what is settled now.
func (f *fleet) mean() float64 {
	sum, all := 0.0, 0.0
	for i := range f.flows {
		sum += f.flows[i].Settled * f.usual[i%len(f.products)]
		all += f.flows[i].Settled
	}
	if all == 0 {
		return 0
	}
	return sum / all
}

func (f *fleet) worth(plan, product int) float64 {
	return f.charter.Products[product].Value * f.charter.Plans[plan].ValueFactor
}

func (s *State) round() {
	s.Value, s.InTime, s.Late = round4(s.Value), round4(s.InTime), round4(s.Late)
	for i := range s.Declined {
		s.Declined[i].Rate = round4(s.Declined[i].Rate)
	}
	for i := range s.Halls {
		h := &s.Halls[i]
		h.Able, h.Asked, h.Run, h.Use, h.Pace, h.Room = round4(h.Able), round4(h.Asked), round4(h.Run),
			round4(h.Use), round4(h.Pace), round4(h.Room)
	}
}
