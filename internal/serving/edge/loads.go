package edge

import (
	"context"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/loadshare"
	"willowdeck/internal/serving/wirepb"
)

const (
	loadPortOffset = 2 // from the first internal port
	maxDatagram    = 1400
	mostLoads      = 40 // workers in a report; the datagram stays under an Ethernet frame
)

// loadsAddress is where this edge hears what others have in hand.
func (e *Edge) loadsAddress() string {
	return net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.FirstPort+loadPortOffset))
}

// shareLoads tells the other edges what this one has in hand, and hears them, until the context ends.
func (e *Edge) shareLoads(ctx context.Context) {
	address, err := net.ResolveUDPAddr("udp4", e.loadsAddress())
	if err != nil {
		e.logger.Warn("loads are not shared", zap.Error(err))
		return
	}
	connection, err := net.ListenUDP("udp4", address)
	if err != nil {
		e.logger.Warn("loads are not shared", zap.Error(err))
		return
	}
	defer connection.Close()
	go e.hearLoads(connection)
	number := uint64(e.started.UnixMicro())
	for {
		t := e.table.Load()
		period := loadshare.Period(0)
		if t != nil && loadshare.Worthwhile(len(t.peers)) {
			period = loadshare.Period(len(t.peers))
			number++
			e.tellLoads(connection, t, number)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
	}
}

func (e *Edge) tellLoads(connection *net.UDPConn, t *table, number uint64) {
	report := e.decide.loadReport(mostLoads)
	report.Edge = e.settings.NodeName
	report.Number = number
	report.Dead = e.liveness.dead()
	data, err := proto.Marshal(report)
	if err != nil || len(data) > maxDatagram {
		return
	}
	for _, peer := range t.peers {
		connection.WriteToUDPAddrPort(data, peer.address) // a loss is made good by the next
	}
}

func (e *Edge) hearLoads(connection *net.UDPConn) {
	buffer := make([]byte, maxDatagram+1)
	for {
		length, _, err := connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		report := &wirepb.LoadReport{}
		if proto.Unmarshal(buffer[:length], report) == nil && report.Edge != "" {
			e.decide.takeLoads(e.now(), report)
		}
	}
}
