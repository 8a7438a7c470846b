package edge

import (
	"context"
	"time"

	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/loadreport"
	"willowdeck/internal/serving/wirepb"
)

const (
	maxReportedLoads = 40 // workers in a report, which has to fit into a datagram
	// minNoticedPrefillMillis is the prefill time from which a prompt is announced to other edges: below, the
	// next load report is soon enough.
	minNoticedPrefillMillis = 30.0
)

// reportLoads reports to the peers what this edge has in flight, until the context ends.
func (e *Edge) reportLoads(ctx context.Context, socket *datagramSocket) {
	number := uint64(e.startedAt.UnixMicro())
	for {
		table := e.table.Load()
		interval := loadreport.Interval(0)
		if table != nil && loadreport.Enabled(table.linkedPeers) {
			interval = loadreport.Interval(table.linkedPeers)
			number++
			e.sendLoadReport(socket, table, number)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// sendLoadReport sends one report. A report replaces those of lower numbers at its receivers.
func (e *Edge) sendLoadReport(socket *datagramSocket, table *routingTable, number uint64) {
	report := e.decisions.loadReport(maxReportedLoads)
	report.Edge = e.settings.NodeName
	report.Sequence = number
	message := &wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Load{Load: report}}
	socket.send(message, table.linkedPeerAddresses(func(string) bool { return true })...)
}

// notifyPrefill announces a prompt that has just been assigned to a worker, so that other edges account for
// its prefill before their next load report: those of the worker's region, and all where the prompt is long,
// since all avoid such workers.
func (e *Edge) notifyPrefill(table *routingTable, chosen worker, assigned loadbalancer.PrefillNotice) {
	socket := e.datagrams.Load()
	if socket == nil || !chosen.Engine || assigned.PrefillMillis < minNoticedPrefillMillis {
		return
	}
	addresses := table.linkedPeerAddresses(func(region string) bool {
		return assigned.Long || region == chosen.Region
	})
	notice := &wirepb.PrefillNotice{
		InstanceId: assigned.Instance, PrefillMs: uint32(assigned.PrefillMillis), InterruptsStreams: assigned.Long,
	}
	socket.send(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Prompt{Prompt: notice}}, addresses...)
}

// reportConnectionBreak records that a worker broke off a connection, and notifies other edges, so that they
// do not risk non-idempotent requests on their idle connections to it.
func (e *Edge) reportConnectionBreak(w worker) {
	if e.paths.suspected(w.Zone) {
		return // the path broke, not the worker
	}
	e.decisions.recordConnectionBreak(e.now(), w.Instance)
	e.notifyUnhealthy(w.Zone, &wirepb.WorkerFailureNotice{InstanceId: w.Instance, ConnectionBroken: true})
}

// notifyUnhealthy notifies the other edges of this region of an unhealthy worker in a zone: they share the
// path to it. Edges elsewhere may reach it where this one cannot.
func (e *Edge) notifyUnhealthy(zone string, notice *wirepb.WorkerFailureNotice) {
	socket, table := e.datagrams.Load(), e.table.Load()
	if socket == nil || table == nil || e.paths.suspected(zone) {
		return
	}
	addresses := table.linkedPeerAddresses(func(region string) bool { return region == e.settings.Region })
	socket.send(
		&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_WorkerFailure{WorkerFailure: notice}},
		addresses...)
}

// handleUnhealthyNotice handles another edge's notice of an unhealthy worker. Where this edge has requests
// there, it checks the worker itself at once.
func (e *Edge) handleUnhealthyNotice(notice *wirepb.WorkerFailureNotice) {
	if notice.ConnectionBroken {
		e.decisions.recordConnectionBreak(e.now(), notice.InstanceId)
		if table := e.table.Load(); table != nil && table.addresses[notice.InstanceId] != "" {
			e.connections.CloseIdle(table.addresses[notice.InstanceId])
		}
		return
	}
	e.decisions.recordUnresponsive(e.now(), notice.InstanceId, true)
	e.healthChecker.expedite(notice.InstanceId)
}
