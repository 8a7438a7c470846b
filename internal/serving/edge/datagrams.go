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
	datagramPortOffset = 2 // from the first internal port
	maxDatagram        = 1400
)

// datagrams is the socket that edges speak to each other by. A loss is made good by the next message.
type datagrams struct{ connection *net.UDPConn }

// datagramAddress is where this edge hears the others.
func (e *Edge) datagramAddress() string {
	return net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.FirstInternalPort+datagramPortOffset))
}

func listenDatagrams(address string) (*datagrams, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	connection, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, err
	}
	return &datagrams{connection: connection}, nil
}

// send sends a message to each of the addresses, unless it is too long for one datagram.
func (d *datagrams) send(message *wirepb.EdgeDatagram, addresses ...netip.AddrPort) {
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagram {
		return
	}
	for _, address := range addresses {
		d.connection.WriteToUDPAddrPort(data, address)
	}
}

// exchangeDatagrams tells the other edges what this one has in hand, proves the paths to them, and hears
// them, until the context ends.
func (e *Edge) exchangeDatagrams(ctx context.Context) {
	datagrams, err := listenDatagrams(e.datagramAddress())
	if err != nil {
		e.logger.Warn("other edges are not heard: free the port or change internal_port_range", zap.Error(err))
		return
	}
	defer datagrams.connection.Close()
	e.datagrams.Store(datagrams)
	go e.hearDatagrams(datagrams)
	go e.watchPaths(ctx, datagrams)
	e.shareLoads(ctx, datagrams)
}

func (e *Edge) hearDatagrams(datagrams *datagrams) {
	buffer := make([]byte, maxDatagram+1)
	for {
		length, from, err := datagrams.connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message := &wirepb.EdgeDatagram{}
		if proto.Unmarshal(buffer[:length], message) == nil {
			e.takeDatagram(datagrams, from, message)
		}
	}
}

func (e *Edge) takeDatagram(datagrams *datagrams, from netip.AddrPort, message *wirepb.EdgeDatagram) {
	switch body := message.Body.(type) {
	case *wirepb.EdgeDatagram_Load:
		if body.Load.GetEdge() != "" {
			e.decide.takeLoads(e.now(), body.Load)
		}
	case *wirepb.EdgeDatagram_Probe:
		datagrams.send(&wirepb.EdgeDatagram{Body: &wirepb.EdgeDatagram_Answer{Answer: body.Probe}}, from)
	case *wirepb.EdgeDatagram_Prompt:
		e.decide.takePrompt(e.now(), body.Prompt)
	case *wirepb.EdgeDatagram_Dead:
		e.takeDead(body.Dead)
	case *wirepb.EdgeDatagram_Answer:
		e.paths.answered(e.now(), body.Answer.GetNumber())
	}
}
