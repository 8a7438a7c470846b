package edge

import (
	"context"
	"net"
	"net/netip"
	"strconv"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

const (
	datagramPortOffset = 2    // from the first internal port
	maxDatagramBytes   = 1400 // fits into an Ethernet frame
)

// datagramSocket is the socket by which edges exchange datagrams. A loss is made good by a later datagram.
type datagramSocket struct{ connection *net.UDPConn }

// datagramAddress returns where this edge receives datagrams.
func (e *Edge) datagramAddress() string {
	return net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.FirstInternalPort+datagramPortOffset))
}

func listenDatagrams(address string) (*datagramSocket, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	connection, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, err
	}
	return &datagramSocket{connection: connection}, nil
}

// close ends the socket and the goroutine that receives from it.
func (s *datagramSocket) close() { _ = s.connection.Close() } // nothing is buffered that could be lost

// send sends a message to each of the addresses. One that is too long for a datagram is dropped.
func (s *datagramSocket) send(message *wirepb.EdgeDatagram, addresses ...netip.AddrPort) {
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagramBytes {
		return
	}
	for _, address := range addresses {
		_, _ = s.connection.WriteToUDPAddrPort(data, address) // as if it were lost on its way
	}
}

// exchangeDatagrams reports this edge's load to its peers, probes the paths to them, and receives what they
// send, until the context ends.
func (e *Edge) exchangeDatagrams(ctx context.Context) {
	socket, err := listenDatagrams(e.datagramAddress())
	if err != nil {
		e.logger.Warn("cannot receive datagrams of other edges: free the port or change internal_port_range",
			zap.Error(err))
		return
	}
	defer socket.close()
	e.datagrams.Store(socket)
	go e.receiveDatagrams(socket)
	go e.monitorPaths(ctx, socket)
	e.reportLoads(ctx, socket)
}

// receiveDatagrams handles datagrams until the socket is closed.
func (e *Edge) receiveDatagrams(socket *datagramSocket) {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		length, from, err := socket.connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message := &wirepb.EdgeDatagram{}
		if proto.Unmarshal(buffer[:length], message) == nil {
			e.handleDatagram(socket, from, message)
		}
	}
}

func (e *Edge) handleDatagram(socket *datagramSocket, from netip.AddrPort, message *wirepb.EdgeDatagram) {
	switch body := message.Body.(type) {
	case *wirepb.EdgeDatagram_Load:
		if body.Load.GetEdge() != "" {
			e.decisions.recordPeerLoads(e.now(), body.Load)
		}
	case *wirepb.EdgeDatagram_Probe:
		socket.send(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Answer{Answer: body.Probe}}, from)
	case *wirepb.EdgeDatagram_Prompt:
		e.decisions.recordPeerPrefill(e.now(), body.Prompt)
	case *wirepb.EdgeDatagram_WorkerFailure:
		e.handleUnhealthyNotice(body.WorkerFailure)
	case *wirepb.EdgeDatagram_Answer:
		e.paths.recordAnswer(e.now(), body.Answer.GetNumber())
	}
}
