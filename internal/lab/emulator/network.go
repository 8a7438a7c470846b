package emulator

// drawDelay draws a delay of a mean: at least half of it, and sometimes several times as long.
func (sim *simulation) drawDelay(meanMillis float64) float64 {
	return meanMillis * (0.5 + 0.5*sim.networkRand.ExpFloat64())
}

// connected reports whether the links between two regions are up.
func (sim *simulation) connected(a, b int) bool {
	return a == b || !sim.isolatedRegions[a] && !sim.isolatedRegions[b]
}

// reachable reports whether an instance can reach a worker.
func (sim *simulation) reachable(g *gatekeeper, worker *worker) bool {
	return sim.connected(sim.scenario.region(g.index), sim.scenario.region(worker.index))
}

// workerDelay draws the one-way delay between an instance and a worker.
func (sim *simulation) workerDelay(g *gatekeeper, worker *worker) float64 {
	if sim.scenario.Network.CrossRegionMillis > 0 && sim.scenario.region(g.index) != sim.scenario.region(
		worker.index) {
		return sim.drawDelay(sim.scenario.Network.WorkerMillis) + sim.scenario.Network.CrossRegionMillis
	}
	return sim.drawDelay(sim.scenario.Network.WorkerMillis)
}
