package transport

import (
	"testing"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

// What answers report of load, and what of it counts as not reported.
func TestParseLoad(t *testing.T) {
	cases := []struct {
		name, load string
		want       policy.WorkerLoad
	}{
		{"all", `{"inflight":7,"queue":2,"util":0.61}`, policy.WorkerLoad{InFlight: 7, Queued: 2, CPUFraction: 0.61}},
		{"in the settings' names", `{"concurrent":7,"depth":2,"load_share":0.61}`,
			policy.WorkerLoad{InFlight: 7, Queued: 2, CPUFraction: 0.61}},
		{"some, and one not known", `{"queue":2,"eps":1}`, policy.WorkerLoad{InFlight: -1, Queued: 2, CPUFraction: -1}},
		{"no JSON", `inflight=7`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"no number", `{"inflight":"7"}`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"out of range", `{"inflight":1e999}`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"negative", `{"inflight":-7,"queue":1}`, policy.WorkerLoad{InFlight: -1, Queued: 1, CPUFraction: -1}},
		{"no field", `{}`, policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
		{"missing", "", policy.WorkerLoad{InFlight: -1, Queued: -1, CPUFraction: -1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var head fasthttp.ResponseHeader
			if tc.load != "" {
				head.Set("X-Load", tc.load)
			}
			if got := parseLoad(&head); got != tc.want {
				t.Errorf("load %+v", got)
			}
			head.Add("X-Load", `{"inflight":1}`)
			if tc.load != "" && parseLoad(&head).InFlight >= 0 {
				t.Error("a report that is given twice is accepted")
			}
		})
	}
}
