package edge

import (
	"context"
	"net/netip"
	"time"

	"willowdeck/internal/serving/balance"
	"willowdeck/internal/serving/loadshare"
	"willowdeck/internal/serving/wirepb"
)

const mostLoads = 40 // workers in a report; the datagram stays under an Ethernet frame

// shareLoads tells the other edges what this one has in hand, until the context ends.
func (e *Edge) shareLoads(ctx context.Context, datagrams *datagrams) {
	number := uint64(e.started.UnixMicro())
	for {
		t := e.table.Load()
		period := loadshare.Period(0)
		if t != nil && loadshare.Worthwhile(len(t.peers)) {
			period = loadshare.Period(len(t.peers))
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
	report.Dead = e.liveness.dead()
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
func (e *Edge) tellPrompt(t *table, chosen worker, sent balance.Prompt) {
	datagrams := e.datagrams.Load()
	if datagrams == nil || !chosen.Engine || sent.ReadMs < noticedRead {
		return
	}
	var addresses []netip.AddrPort
	for _, target := range t.targets {
		if target.Linked && (sent.Long || target.Region == chosen.Region) {
			addresses = append(addresses, target.address)
		}
	}
	notice := &wirepb.PromptNotice{InstanceId: sent.Instance, ReadMs: uint32(sent.ReadMs), Long: sent.Long}
	datagrams.send(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Prompt{Prompt: notice}}, addresses...)
}
