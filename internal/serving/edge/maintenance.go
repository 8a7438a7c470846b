package edge

import (
	"context"
	"time"
)

const (
	cleanupInterval      = 500 * time.Millisecond
	demandReportInterval = time.Second // for workers that are warming up
)

// runMaintenance releases what is no longer used, and reports demands, until the context ends.
func (e *Edge) runMaintenance(ctx context.Context) {
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	report := time.NewTicker(demandReportInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cleanup.C:
			e.cleanUp()
		case <-report.C:
			e.reportDemands()
		}
	}
}

// cleanUp closes expired connections, and those to workers that get no requests, and forgets workers and
// edges that have left.
func (e *Edge) cleanUp() {
	table := e.table.Load()
	if table == nil {
		return
	}
	addresses := map[string]bool{}
	for _, workers := range table.workersByService {
		for _, worker := range workers {
			addresses[worker.Address] = true
		}
	}
	e.connections.CloseExpired(func(address string) bool { return addresses[address] })
	e.decisions.retain(table)
	e.gate.Retain(table.hasRoute)
}
