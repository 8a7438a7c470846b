package agent

import (
	"net"
	"slices"
	"strconv"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

// Distances of cores from this agent, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
	unknownLocation
)

// providers returns the cores to subscribe to, nearest first. Seeds that are not in the catalog come last.
func (a *Agent) providers() []watch.Provider {
	config := a.currentSettings()
	var providers []watch.Provider
	known := map[string]bool{}
	for _, entry := range a.store.EntriesOf(catalog.Cores) {
		core := entry.Record.GetCore()
		if core == nil || entry.Record.Deleted || known[core.Address] {
			continue
		}
		known[core.Address] = true
		providers = append(providers, watch.Provider{Address: core.Address, Distance: distance(config, core)})
	}
	for _, seed := range config.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, strconv.Itoa(config.FirstInternalPort))
		if !known[address] {
			known[address] = true
			providers = append(providers, watch.Provider{Address: address, Distance: unknownLocation})
		}
	}
	slices.SortStableFunc(providers, func(x, y watch.Provider) int { return x.Distance - y.Distance })
	return providers
}

// distance returns the distance of a core by zone and region.
func distance(config *settings.Settings, core *wirepb.CoreNode) int {
	switch {
	case core.Zone == config.Zone:
		return sameZone
	case core.Region == config.Region:
		return sameRegion
	}
	return otherRegion
}
