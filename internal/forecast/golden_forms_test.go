package forecast

import (
	"bytes"
	"testing"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

// goldenWord is what word.json says. The file was written once by Append, before names were changed, from a
// value filled by reflection in the order of declaration. It is what older versions say at /admin/word and
// what daemons hand on; new code must never write it again.
//
// Keys are the fields' names, here and in logic: where one is renamed without a tag that keeps the old key, a
// word of the other version is turned away as a whole.
func goldenWord() *Word {
	return &Word{Form: 1, Name: "s2", Host: "s3", Hall: "s4", Group: "s5", Number: 6, Life: 7, Seq: 8,
		Version: 9,
		At:      10, Span: 11.5, Charter: policy.Settings{GatewayIndex: 12, GatewayCount: 9999,
			Products: []policy.Product{{LatencyTargetMillis: 14.5, Value: 15.5, LateValueFraction: 16.5,
				Idempotency: 17, DedupScope: 18,
				DedupWindowMillis: 19.5}, {LatencyTargetMillis: 20.5, Value: 21.5, LateValueFraction: 22.5,
				Idempotency: 23, DedupScope: 24, DedupWindowMillis: 25.5}},
			Plans: []policy.Plan{{QuotaPerSecond: 26.5, QuotaBurst: 27.5, RateLimitPerSecond: 28.5,
				RateLimitBurst: 29.5, WithheldFraction: 30.5,
				MaxInFlight: 31, ValueFactor: 32.5, ExcessValueFraction: 33.5, ExcessCostFraction: 34.5,
				CreditSeconds: 35.5, RepayWithinMillis: 36.5}, {QuotaPerSecond: 37.5,
				QuotaBurst: 38.5, RateLimitPerSecond: 39.5, RateLimitBurst: 40.5, WithheldFraction: 41.5, MaxInFlight: 42,
				ValueFactor:         43.5,
				ExcessValueFraction: 44.5, ExcessCostFraction: 45.5, CreditSeconds: 46.5, RepayWithinMillis: 47.5}},
			MaxRequestUnits: 48.5,
			MaxAttempts:     49, AllowHedging: true, AllowCancel: true, AllowRetryAfter: true,
			MaxRetryAfterMillis: 50.5,
			AllowGossip:         true, WorkersReportLoad: true, PeerMessagesPerSecond: 51.5, ReportsPerMessage: 52,
			ColdCapacityFraction: 53.5, WarmUpMillis: 54.5,
			OverloadFactor: 55.5, OverloadMillis: 56.5, TotalWeight: 57.5, WorstPlanWeight: 58.5,
			QuotaWithoutGossip: true}, Products: []string{"s59",
			"s60"}, Plans: []string{"s61", "s62"}, Flows: []Flow{{Asked: 63.5, Units: 64.5, Settled: 65.5,
			Late: 66.5, Declined: 67.5, Voided: 68.5, Other: 69.5}, {Asked: 70.5, Units: 71.5, Settled: 72.5,
			Late: 73.5, Declined: 74.5, Voided: 75.5, Other: 76.5}, {Asked: 77.5, Units: 78.5, Settled: 79.5,
			Late: 80.5, Declined: 81.5, Voided: 82.5, Other: 83.5}, {Asked: 84.5, Units: 85.5, Settled: 86.5,
			Late: 87.5, Declined: 88.5, Voided: 89.5, Other: 90.5}}, Customers: []policy.PlanSnapshot{{Customers: 91.5,
			DemandPerSecond: 92.5, DemandByUtilization: [15]float64{93.5, 94.5, 95.5, 96.5, 97.5, 98.5, 99.5, 100.5,
				101.5, 102.5,
				103.5, 104.5, 105.5, 106.5, 107.5}}, {Customers: 108.5, DemandPerSecond: 109.5,
			DemandByUtilization: [15]float64{110.5,
				111.5, 112.5, 113.5, 114.5, 115.5, 116.5, 117.5, 118.5, 119.5, 120.5, 121.5, 122.5, 123.5,
				124.5}}}, Sets: []policy.GatewaySetSnapshot{{Plan: 1, FirstGateway: 126, Size: 127,
			DemandPerSecond: 128.5}, {Plan: 1, FirstGateway: 130,
			Size: 131, DemandPerSecond: 132.5}}, Others: 133.5, Halls: []Hall{{Name: "s134", Workers: 135, Able: 136.5,
			InHand: 137, Busy: 0.25, Answers: []Answers{{PerS: 139.5, Pace: 140.5, Spread: 141.5, Wasted: 142.5},
				{PerS: 143.5, Pace: 144.5, Spread: 145.5, Wasted: 146.5}}}, {Name: "s147", Workers: 148, Able: 149.5,
			InHand: 150, Busy: 0.125, Answers: []Answers{{PerS: 152.5, Pace: 153.5, Spread: 154.5, Wasted: 155.5},
				{PerS: 156.5, Pace: 157.5, Spread: 158.5, Wasted: 159.5}}}}, Credit: []Credit{{Rights: 160.5,
			Open: 161.5}, {Rights: 162.5, Open: 163.5}}, Window: 164.5, Press: 165.5, InHand: 166, Silent: 167,
		Gone: 168, Reasons: [8]float64{169.5, 170.5, 171.5, 172.5, 173.5, 174.5, 175.5, 176.5}}
}

func TestGoldenWord(t *testing.T) {
	old := bytes.TrimSpace(goldentest.File(t, "word.json"))
	got, err := Decode(old)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Same(t, got, goldenWord())
	b, err := Append(nil, goldenWord())
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameBytes(t, b, old)
}
