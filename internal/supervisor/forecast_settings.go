package supervisor

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"willowdeck/internal/forecast"
)

const (
	maxNeighbours             = 64  // limit of a daemon's neighbours and unmanaged instances together
	maxRegionLength           = 128 // bytes
	minForecastIntervalMillis = 100
	defaultForecastInterval   = 1000 // ms
)

// ForecastSettings are the settings of the forecast, which estimates the effects of the loss of a region.
type ForecastSettings struct {
	IntervalMillis     float64  `toml:"each_ms"`    // between two rounds of queries
	Neighbours         []string `toml:"neighbours"` // HOST:PORT of other daemons' control ports
	UnmanagedInstances []string `toml:"ask"`        // HOST:PORT of admin ports of instances without daemon
	MaxReportAgeMillis float64  `toml:"old_ms"`     // reports older than the newest by more are not used
	WorkerCores        float64  `toml:"worker_cores"`
	WorkerPerSecond    float64  `toml:"worker_per_s"`
	OverheadMillis     float64  `toml:"way_ms"` // of a response in the same region, besides the worker's time
	MaxAttempts        int      `toml:"tries"`
	MaxBackoffMillis   float64  `toml:"back_ms"`     // longest pause before a client's retry without Retry-After
	TakeoverMillis     float64  `toml:"takeover_ms"` // until clients of lost gateways use others; 0: by retry
	NeighboursTakeOver bool     `toml:"elsewhere"`   // clients whose gateways are all lost use other regions'
	SlowdownFactor     float64  `toml:"slow"`        // of other regions' response times, if a loss slows them
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

// forecastAssumptions returns the settings as the assumptions of the forecast.
func (s *ForecastSettings) forecastAssumptions() forecast.Assumptions {
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

// resolveForecast validates the keys of the forecast and copies them to the settings.
func (f *FleetFile) resolveForecast(settings *Settings) error {
	assumptions := f.Forecast.forecastAssumptions()
	sources := len(f.Forecast.Neighbours) + len(f.Forecast.UnmanagedInstances)
	switch err := assumptions.Validate(); {
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
