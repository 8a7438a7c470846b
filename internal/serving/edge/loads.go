package edge

import (
	"context"
	"net/netip"
	"time"

	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/loadreport"
	"willowdeck/internal/serving/wirepb"
)

const mostLoads = 40 // workers in a report; the datagram stays under an Ethernet frame

// shareLoads tells the other edges what this one has in hand, until the context ends.
func (e *Edge) shareLoads(ctx context.Context, datagrams *datagrams) {
	number := uint64(e.started.UnixMicro())
	for {
		t := e.table.Load()
		period := loadreport.Interval(0)
		if t != nil && loadreport.Enabled(len(t.peers)) {
			period = loadreport.Interval(len(t.peers))
			number++
			e.tellLoads(datagrams, t, number)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
	}
}

func (e *Edge) tellLoads(datagrams *datagrams, t *table, number uint64) {
	report := e.decide.loadReport(mostLoads)
	report.Edge = e.settings.NodeName
	report.Number = number
	message := &wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Load{Load: report}}
	addresses := make([]netip.AddrPort, len(t.peers))
	for i, peer := range t.peers {
		addresses[i] = peer.address
	}
	datagrams.send(message, addresses...)
}

// noticedRead is the ms of a worker's time from which a prompt is told to other edges.
const noticedRead = 30.0

// tellPrompt tells other edges of a prompt that has just been given to a worker, so that they wait for it no
// longer than they have to: those of its region, and all where it is long, since all avoid such workers.
func (e *Edge) tellPrompt(t *table, chosen worker, sent loadbalancer.PrefillNotice) {
	datagrams := e.datagrams.Load()
	if datagrams == nil || !chosen.Engine || sent.PrefillMillis < noticedRead {
		return
	}
	var addresses []netip.AddrPort
	for _, target := range t.targets {
		if target.Linked && (sent.Long || target.Region == chosen.Region) {
			addresses = append(addresses, target.address)
		}
	}
	notice := &wirepb.PromptNotice{
		InstanceId: sent.Instance, ReadMs: uint32(sent.PrefillMillis), Long: sent.Long,
	}
	datagrams.send(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Prompt{Prompt: notice}}, addresses...)
}

// tellBroken tells other edges of a worker that has just broken off a connection, so that what may not be
// repeated is not risked on others which they have kept.
func (e *Edge) tellBroken(w worker) {
	if e.paths.suspected(w.Zone) {
		return // the path broke, not the worker
	}
	e.decide.broke(e.now(), w.Instance)
	e.tellDead(w.Zone, &wirepb.DeadNotice{InstanceId: w.Instance, Broke: true})
}

// tellDead tells the other edges of this region of a worker that stands in a zone: they see it from where
// this one does. Others may well have a path to it that this one lacks.
func (e *Edge) tellDead(zone string, notice *wirepb.DeadNotice) {
	datagrams, t := e.datagrams.Load(), e.table.Load()
	if datagrams == nil || t == nil || e.paths.suspected(zone) {
		return
	}
	var addresses []netip.AddrPort
	for _, target := range t.targets {
		if target.Linked && target.Region == e.settings.Region {
			addresses = append(addresses, target.address)
		}
	}
	datagrams.send(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Dead{Dead: notice}}, addresses...)
}

// takeDead takes another edge's word that a worker does not answer. Where this one has requests there, it
// looks itself at once.
func (e *Edge) takeDead(notice *wirepb.DeadNotice) {
	if notice.Broke {
		e.decide.broke(e.now(), notice.InstanceId)
		if t := e.table.Load(); t != nil && t.addresses[notice.InstanceId] != "" {
			e.pool.CloseIdle(t.addresses[notice.InstanceId])
		}
		return
	}
	e.decide.dead(e.now(), notice.InstanceId, true)
	e.liveness.hint(notice.InstanceId)
}
