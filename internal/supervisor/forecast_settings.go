package supervisor

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"willowdeck/internal/forecast"
)

const (
	maxNeighbours             = 64  // of a daemon, and instances that no daemon keeps
	maxRegionLength           = 128 // bytes
	minForecastIntervalMillis = 100
	defaultForecastInterval   = 1000 // ms
)

// ForecastSettings are the settings of the forecast of a region's loss.
type ForecastSettings struct {
	IntervalMillis     float64  `toml:"each_ms"`    // between two rounds of queries
	Neighbours         []string `toml:"neighbours"` // HOST:PORT of other daemons' control ports
	UnmanagedInstances []string `toml:"ask"`        // HOST:PORT of admin ports of instances that no daemon keeps
	MaxReportAgeMillis float64  `toml:"old_ms"`     // older reports do not count
	WorkerCores        float64  `toml:"worker_cores"`
	WorkerPerSecond    float64  `toml:"worker_per_s"`
	OverheadMillis     float64  `toml:"way_ms"` // of an answer in the same region, besides the worker's time
	MaxAttempts        int      `toml:"tries"`
	MaxBackoffMillis   float64  `toml:"back_ms"`     // before a client's retry without an advised time
	TakeoverMillis     float64  `toml:"takeover_ms"` // until lost gateways' clients reach others; 0: by retry
	NeighboursTakeOver bool     `toml:"elsewhere"`   // clients whose gateways are all lost go to the neighbours'
	SlowdownFactor     float64  `toml:"slow"`        // of the neighbours' workers, if a loss slows them
}

func defaultForecastSettings() ForecastSettings {
	defaults := forecast.DefaultAssumptions
	return ForecastSettings{
		IntervalMillis:     defaultForecastInterval,
		MaxReportAgeMillis: defaults.MaxReportAgeMillis,
		MaxAttempts:        defaults.ClientAttempts,
		NeighboursTakeOver: defaults.FailsOver,
		SlowdownFactor:     defaults.SlowFactor,
	}
}

// projectionRules returns the settings as the projection takes them.
func (s *ForecastSettings) projectionRules() forecast.Assumptions {
	return forecast.Assumptions{
		MaxReportAgeMillis:  s.MaxReportAgeMillis,
		WorkerCores:         s.WorkerCores,
		WorkerPerSecond:     s.WorkerPerSecond,
		NetworkMillis:       s.OverheadMillis,
		ClientAttempts:      s.MaxAttempts,
		ClientBackoffMillis: s.MaxBackoffMillis,
		TakeoverMillis:      s.TakeoverMillis,
		FailsOver:           s.NeighboursTakeOver,
		SlowFactor:          s.SlowdownFactor,
	}
}

// resolveForecast checks the keys of the forecast and adds them to the settings.
func (f *FleetFile) resolveForecast(settings *Settings) error {
	rules := f.Forecast.projectionRules()
	sources := len(f.Forecast.Neighbours) + len(f.Forecast.UnmanagedInstances)
	switch err := rules.Validate(); {
	case err != nil:
		return fmt.Errorf("outlook.%w", err)
	case !(f.Forecast.IntervalMillis >= minForecastIntervalMillis):
		return fmt.Errorf("outlook.each_ms: %v is under %d", f.Forecast.IntervalMillis, minForecastIntervalMillis)
	case sources > maxNeighbours:
		return fmt.Errorf("outlook.neighbours, outlook.ask: %d, over %d", sources, maxNeighbours)
	case f.Region == "" && sources > 0:
		return errors.New("hall: there is none, and outlook needs it")
	case len(f.Region) > maxRegionLength || strings.ContainsAny(f.Region, "\r\n\x00"):
		return fmt.Errorf("hall: %q is too long, or has a control character", f.Region)
	}
	if err := checkAddresses("outlook.neighbours", f.Forecast.Neighbours); err != nil {
		return err
	}
	if err := checkAddresses("outlook.ask", f.Forecast.UnmanagedInstances); err != nil {
		return err
	}
	settings.Region, settings.Forecast = f.Region, f.Forecast
	return nil
}

func checkAddresses(key string, addresses []string) error {
	for i, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s[%d]: %w", key, i, err)
		}
	}
	return nil
}
