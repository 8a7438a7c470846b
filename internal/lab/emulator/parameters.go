package emulator

import (
	"fmt"
	"slices"
	"strings"
)

// Set changes a parameter by its key, as a sweep does, and checks the scenario again.
func (s *Scenario) Set(key string, v float64) error {
	f, ok := s.parameterSetters()[key]
	if !ok {
		return fmt.Errorf("%s: no figure that can be swept; these can: %s", key, strings.Join(s.Parameters(), ", "))
	}
	f(v)
	return s.validate()
}

// Parameters returns the keys that Set takes, sorted.
func (s *Scenario) Parameters() []string {
	var names []string
	for k := range s.parameterSetters() {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// parameterSetters returns a setter for each key that Set takes.
func (s *Scenario) parameterSetters() map[string]func(float64) {
	number := func(p *float64) func(float64) { return func(v float64) { *p = v } }
	integer := func(p *int) func(float64) { return func(v float64) { *p = int(v) } }
	setters := map[string]func(float64){
		"seconds": number(&s.Seconds), "gatekeepers.count": integer(&s.Gatekeepers.Count),
		"gatekeepers.spread":          integer(&s.Gatekeepers.SetSize),
		"gatekeepers.max_submissions": integer(&s.Gatekeepers.MaxAttempts),
		"gatekeepers.keeps":           integer(&s.Gatekeepers.Retained),
		"gatekeepers.peer_in_per_s":   number(&s.Gatekeepers.PeerMessagesPerSecond),
		"workers.count":               integer(&s.Workers.Count), "workers.cores": integer(&s.Workers.Cores),
		"workers.queue": integer(&s.Workers.Queue), "workers.service_ms": number(&s.Workers.ServiceMillis),
		"workers.spread":    number(&s.Workers.ServiceSigma),
		"workers.cold_from": number(&s.Workers.ColdCapacityFraction),
		"network.peer_ms":   number(&s.Network.PeerMillis), "network.peer_loss": number(&s.Network.PeerLoss),
		"network.list_ms": number(&s.Network.EndpointUpdateMillis),
		"clients.waits":   number(&s.Clients.TimeoutFactor),
		"clients.retries": integer(&s.Clients.Retries),
	}
	for i := range s.Plans {
		setters[fmt.Sprintf("plans[%d].asks", i)] = number(&s.Plans[i].OfferedLoad)
		setters[fmt.Sprintf("plans[%d].rate", i)] = number(&s.Plans[i].QuotaPerSecond)
		setters[fmt.Sprintf("plans[%d].burst", i)] = number(&s.Plans[i].QuotaBurst)
		setters[fmt.Sprintf("plans[%d].credit_s", i)] = number(&s.Plans[i].CreditSeconds)
	}
	setters["shapes.factor"] = func(v float64) { // of all
		for i := range s.Shapes {
			s.Shapes[i].Factor = v
		}
	}
	for i := range s.Faults {
		setters[fmt.Sprintf("faults[%d].part", i)] = number(&s.Faults[i].Fraction)
		setters[fmt.Sprintf("faults[%d].factor", i)] = number(&s.Faults[i].Factor)
	}
	return setters
}
