package experiment

import (
	"fmt"

	"willowdeck/internal/lab/emulator"
)

// The floors that a run is held to, each beside one of the same day under a policy that sees the true state
// late. Shares are of the worth within quotas, before prices.
const (
	wholeFloor  = 0.5      // of that policy's share, for the whole day, for each class, for thirds of a long day
	partFloor   = 0.3      // for each third of another day
	tenantFloor = 1.0 / 3  // for each tenant
	counts      = 1.0 / 20 // of the txns or of the worth, from which on a class or tenant counts
	hardly      = 0.3      // share of a class under that policy below which it does not count
	starvedMore = 0.15     // of the worth, that starved customers may hold beyond that policy's
	plainLess   = 0.05     // on a calm day: below the plainest policy's share
	lateLess    = 0.1      // or below that policy's, where that is less
	quotaMore   = 0.1      // of the worth, that what goes beyond quotas may cost more on a calm day
	hair        = 1e-9     // for sums of floats
	thirds      = 3        // parts of a day
)

// Day is what a run's day is to its floors.
type Day struct {
	Plain *emulator.Result // calm days: the same under the plainest policy
	Long  bool
}

// Miss is a floor that a run does not reach, or a bound that it goes beyond.
type Miss struct {
	Floor      string // whole, calm, third, class, tenant, starved or over_quota
	Of         string // the class's or tenant's name, the third's number
	Got, Wants float64
}

func (m Miss) String() string {
	return fmt.Sprintf("%s %s: %.4f, wanted %.4f", m.Floor, m.Of, m.Got, m.Wants)
}

// Floors gives what a run of a scenario misses, beside one under the late-seeing policy. A tenant is a plan.
func Floors(s *emulator.Scenario, d Day, r, late *emulator.Result) (all []Miss) {
	least := func(floor, of string, got, wants float64) {
		if got < wants-hair {
			all = append(all, Miss{floor, of, got, wants})
		}
	}
	most := func(floor string, got, bound float64) {
		if got > bound+hair {
			all = append(all, Miss{floor, "", got, bound})
		}
	}
	share := inside(r, 0, len(r.Seconds))
	least("whole", "", share, wholeFloor*inside(late, 0, len(late.Seconds)))
	if d.Plain != nil {
		least("calm", "", share, min(inside(d.Plain, 0, len(d.Plain.Seconds))-plainLess,
			inside(late, 0, len(late.Seconds))-lateLess))
		most("over_quota", Price(r), Price(late)+quotaMore)
	}
	floor := partFloor
	if d.Long {
		floor = wholeFloor
	}
	for k := range thirds {
		n := len(r.Seconds)
		from, to := k*n/thirds, (k+1)*n/thirds
		least("third", fmt.Sprint(k+1), inside(r, from, to), floor*inside(late, from, to))
	}
	for i, p := range r.Products {
		big := float64(p.Asked) >= counts*float64(r.Asked) || p.Offered >= counts*r.Offered
		if (big || s.Products[i].Repeat != "inquiry") && late.Products[i].Share() >= hardly {
			least("class", p.Name, p.Share(), wholeFloor*late.Products[i].Share())
		}
	}
	for i, p := range r.Plans {
		if p.Offered >= counts*r.Offered {
			least("tenant", p.Name, p.Share(), tenantFloor*late.Plans[i].Share())
		}
	}
	most("starved", r.Starved, late.Starved+starvedMore)
	return all
}

// Price is what goes beyond quotas costs, of the worth that was asked within them.
func Price(r *emulator.Result) float64 {
	if r.Offered == 0 {
		return 0
	}
	return r.OverCost / r.Offered
}

// inside is the share that was served of what was meant to be sent in some seconds; 1 where nothing was.
func inside(r *emulator.Result, from, to int) float64 {
	offered, served := 0.0, 0.0
	for _, s := range r.Seconds[from:to] {
		offered, served = offered+s.Offered, served+s.Inside
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}
