package experiment

import (
	"fmt"

	"willowdeck/internal/lab/emulator"
)

// The floors. Each compares a run with one of the same day under a policy that sees the true state late, by
// shares of the value within quotas, before prices.
const (
	minRunShare           = 0.5      // of the reference's share: of the run, of a class, of thirds of a long day
	minThirdShare         = 0.3      // of the reference's share: of a third of another day
	minTenantShare        = 1.0 / 3  // of the reference's share: of a tenant
	minRelevantShare      = 1.0 / 20 // of the transactions or the value, from which a class or tenant counts
	minReferenceShare     = 0.3      // share of a class in the reference below which the class does not count
	maxExtraStarved       = 0.15     // of the value: that of starved customers, beyond the reference's
	steadyPlainTolerance  = 0.05     // on a calm day: below the share of the plainest policy
	steadyLateTolerance   = 0.1      // on a calm day: below the reference's share, where that is less
	maxExtraOverQuotaCost = 0.1      // on a calm day: beyond the reference's cost of over-quota service
	floatTolerance        = 1e-9     // for sums of floats
	thirds                = 3        // parts of a day
)

// Day says which floors apply to a run.
type Day struct {
	PlainRun *emulator.Result // on a calm day: the same under the plainest policy; nil on others
	Long     bool             // thirds are held to the floor of a whole run
}

// Shortfall is a floor that a run does not reach, or a bound that it exceeds.
type Shortfall struct {
	Floor     string // whole, calm, third, class, tenant, starved or over_quota
	Subject   string // the name of the class or tenant, or the number of the third
	Got, Want float64
}

// String names floor and subject, with the value and the one that was wanted.
func (s Shortfall) String() string {
	return fmt.Sprintf("%s %s: %.4f, wanted %.4f", s.Floor, s.Subject, s.Got, s.Want)
}

// CheckFloors returns the shortfalls of a run of a scenario, compared with one under the policy that sees the
// state late. A tenant is a plan, a class a product.
func CheckFloors(scenario *emulator.Scenario, day Day, result,
	late *emulator.Result) (shortfalls []Shortfall) {
	atLeast := func(floor, subject string, got, want float64) {
		if got < want-floatTolerance {
			shortfalls = append(shortfalls, Shortfall{floor, subject, got, want})
		}
	}
	atMost := func(floor string, got, bound float64) {
		if got > bound+floatTolerance {
			shortfalls = append(shortfalls, Shortfall{floor, "", got, bound})
		}
	}
	share := servedShare(result, 0, len(result.Seconds))
	atLeast("whole", "", share, minRunShare*servedShare(late, 0, len(late.Seconds)))
	if day.PlainRun != nil {
		atLeast("calm", "", share, min(servedShare(day.PlainRun, 0, len(day.PlainRun.Seconds))-steadyPlainTolerance,
			servedShare(late, 0, len(late.Seconds))-steadyLateTolerance))
		atMost("over_quota", OverQuotaCost(result), OverQuotaCost(late)+maxExtraOverQuotaCost)
	}
	floor := minThirdShare
	if day.Long {
		floor = minRunShare
	}
	for third := range thirds {
		n := len(result.Seconds)
		from, to := third*n/thirds, (third+1)*n/thirds
		atLeast("third", fmt.Sprint(third+1), servedShare(result, from, to), floor*servedShare(late, from, to))
	}
	for i, segment := range result.Products {
		relevant := float64(segment.Transactions) >= minRelevantShare*float64(result.Transactions) ||
			segment.Offered >= minRelevantShare*result.Offered
		if (relevant || scenario.Products[i].Idempotency != "inquiry") &&
			late.Products[i].ServedShare() >= minReferenceShare {
			atLeast("class", segment.Name, segment.ServedShare(), minRunShare*late.Products[i].ServedShare())
		}
	}
	for i, segment := range result.Plans {
		if segment.Offered >= minRelevantShare*result.Offered {
			atLeast("tenant", segment.Name, segment.ServedShare(), minTenantShare*late.Plans[i].ServedShare())
		}
	}
	atMost("starved", result.StarvedFraction, late.StarvedFraction+maxExtraStarved)
	return shortfalls
}

// OverQuotaCost returns the cost of what was served beyond quotas, as a part of the value offered within
// them.
func OverQuotaCost(result *emulator.Result) float64 {
	if result.Offered == 0 {
		return 0
	}
	return result.OverQuotaCost / result.Offered
}

// servedShare returns the share of the value offered in the seconds from (inclusive) to to (exclusive) that
// was served; 1 where none was offered.
func servedShare(result *emulator.Result, from, to int) float64 {
	offered, served := 0.0, 0.0
	for _, second := range result.Seconds[from:to] {
		offered, served = offered+second.Offered, served+second.ServedWithinQuota
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}
