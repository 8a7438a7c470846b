package raftlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// hello is who speaks, in each message between daemons.
type messageHeader struct {
	ProtocolVersion int      `json:"form"`
	Cluster         string   `json:"cluster"` // as the operators name it
	HostName        string   `json:"name"`
	DiskID          string   `json:"id"`                // of its disk
	ToDiskID        string   `json:"to,omitempty"`      // the disk that it speaks to, where that matters
	GroupID         string   `json:"council,omitempty"` // that its disk belongs to
	WriteSeq        uint64   `json:"seq"`               // writes of its disk
	IsBlank         bool     `json:"blank,omitempty"`   // it has nothing of any council
	Hosts           []string `json:"hosts,omitempty"`   // as its file has them
	DiscoveryIndex  int64    `json:"index,omitempty"`   // the highest of discovery's list among its instances
}

// reply is who answers, and what it knows of the one that asked.
type response struct {
	messageHeader
	ForDiskID       string `json:"for"`    // the disk that the rest speaks of: the asker's
	HighestWriteSeq uint64 `json:"heard"`  // the most writes of the asker's disk that it has heard of
	Removed         bool   `json:"gone"`   // the asker's disk was a member once and is none any more
	IsVoter         bool   `json:"voter"`  // it is a member
	LeaderName      string `json:"leader"` // the leader's name, if it knows one
	Message         string `json:"says,omitempty"`
}

// packet is one post: a hello with messages of the library.
type request struct {
	messageHeader
	Messages [][]byte `json:"messages,omitempty"`
}

// Refused counts what was not taken, by reason.
type rejectionCounters struct {
	mu           sync.Mutex
	counts       map[string]int64
	lastMessages map[string]string
}

func (r *rejectionCounters) add(reason, says string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts, r.lastMessages = map[string]int64{}, map[string]string{}
	}
	r.counts[reason]++
	r.lastMessages[reason] = says
}

func (r *rejectionCounters) snapshot() (map[string]int64, map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, last := map[string]int64{}, map[string]string{}
	for k := range r.counts {
		n[k], last[k] = r.counts[k], r.lastMessages[k]
	}
	return n, last
}

// The reasons.
const (
	reasonTooLong         = "too_long"
	reasonMalformed       = "garbled"
	reasonProtocolVersion = "other_form"
	reasonOtherCluster    = "other_cluster"
	reasonUnknownHost     = "stranger"
	reasonOtherDisk       = "other_disk" // to a disk that was here before, or from one that is a member no more
	reasonQueueFull       = "queue_full"
)

// no is a refusal.
type rejection struct{ reason, message string }

func (n *rejection) Error() string { return n.message }

// read takes a packet in. An error is a *no.
func (c *Node) decodeRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return nil, &rejection{reasonTooLong, fmt.Sprintf("a message of more than %d bytes", maxMessageBytes)}
	}
	if err != nil {
		return nil, &rejection{reasonMalformed, "a message that was cut short"}
	}
	var form struct {
		Form int `json:"form"`
	}
	p := &request{}
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, &rejection{reasonMalformed, fmt.Sprintf("not a message of a council: %v", err)}
	}
	if form.Form != ProtocolVersion {
		return nil, &rejection{reasonProtocolVersion,
			fmt.Sprintf("a message of form %d, this daemon speaks form %d", form.Form, ProtocolVersion)}
	}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, &rejection{reasonMalformed, fmt.Sprintf("not a message of a council: %v", err)}
	}
	if p.Cluster != c.config.Cluster {
		return nil, &rejection{reasonOtherCluster, fmt.Sprintf("%q is of cluster %q, this one is %q", p.HostName,
			p.Cluster,
			c.config.Cluster)}
	}
	if c.hostAddress(p.HostName) == "" || p.HostName == c.config.HostName {
		return nil, &rejection{reasonUnknownHost, fmt.Sprintf("%q is none of the other hosts of %s", p.HostName,
			c.config.HostName)}
	}
	if _, err := parseDiskID(p.DiskID); err != nil {
		return nil, &rejection{reasonMalformed, fmt.Sprintf("%q has no id: %q", p.HostName, p.DiskID)}
	}
	return p, nil
}

func parseDiskID(hex string) (uint64, error) { return strconv.ParseUint(hex, 16, 64) }

// handler answers other daemons. Nothing of it waits for the log: what comes is put in a queue, and what is
// said is what was last made known.
func (c *Node) handler() http.Handler {
	mux := http.NewServeMux()
	serve := func(path string, take func(*request) (string, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var p *request
			var err error = &rejection{reasonQueueFull, "more calls than this daemon can take"}
			select {
			case c.requestSlots <- struct{}{}:
				defer func() { <-c.requestSlots }()
				p, err = c.decodeRequest(w, r)
			default:
			}
			says := ""
			if err == nil {
				says, err = take(p)
			}
			var why *rejection
			if errors.As(err, &why) {
				c.rejections.add(why.reason, why.message)
				c.log.Debug().Str("reason", why.reason).Msg(why.message)
				http.Error(w, why.message, http.StatusForbidden)
				return
			}
			rep := c.newResponse(p)
			rep.Message = says
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(rep)
		})
	}
	serve("/council/hello", func(*request) (string, error) { return "", nil })
	serve("/council/raft", c.handleMessages)
	serve("/council/join", c.handleJoin)
	return mux
}

// take puts the library's messages in the queue.
func (c *Node) handleMessages(p *request) (string, error) {
	me := c.published.Load()
	if me == nil || p.ToDiskID != formatDiskID(me.ID) {
		return "", &rejection{reasonOtherDisk, fmt.Sprintf("%q speaks to disk %s, which is not here", p.HostName,
			p.ToDiskID)}
	}
	if !me.Blank && p.GroupID != me.GroupID {
		return "", &rejection{reasonOtherCluster, fmt.Sprintf("%q is of council %s, this one is of %s", p.HostName,
			p.GroupID,
			me.GroupID)}
	}
	if me.removed[p.DiskID] {
		return "", &rejection{reasonOtherDisk, fmt.Sprintf("%q speaks from disk %s, which is a member no more",
			p.HostName, p.DiskID)}
	}
	from, _ := parseDiskID(p.DiskID)
	in := inboundBatch{groupID: p.GroupID, fromDiskID: from, writeSeq: p.WriteSeq}
	for _, raw := range p.Messages {
		var m raftpb.Message
		if err := m.Unmarshal(raw); err != nil {
			return "", &rejection{reasonMalformed, fmt.Sprintf("%q sends what is no message: %v", p.HostName, err)}
		}
		if m.From != from || m.To != me.ID {
			return "", &rejection{reasonUnknownHost, fmt.Sprintf("%q sends a message of %x to %x", p.HostName, m.From,
				m.To)}
		}
		in.messages = append(in.messages, m)
	}
	select {
	case c.inbound <- in:
		return "", nil
	default:
		return "", &rejection{reasonQueueFull, "more messages than this daemon can take in"}
	}
}

// replyTo says who is here, and books who has asked.
func (c *Node) newResponse(p *request) response {
	var rep response
	rep.messageHeader = c.header()
	rep.ForDiskID = p.DiskID
	if id, err := parseDiskID(p.DiskID); err == nil {
		c.recordContact(p.HostName, id, p.messageHeader)
		if s := c.currentStore.Load(); s != nil {
			rep.HighestWriteSeq = s.recordPeerSeq(id, p.WriteSeq)
		}
	}
	if me := c.published.Load(); me != nil {
		rep.Removed, rep.IsVoter, rep.LeaderName = me.removed[p.DiskID], me.IsVoter, me.LeaderName
	}
	return rep
}

// hello is who this daemon is now.
func (c *Node) header() messageHeader {
	h := messageHeader{ProtocolVersion: ProtocolVersion, Cluster: c.config.Cluster, HostName: c.config.HostName,
		WriteSeq:       c.writeSeq.Load(),
		DiscoveryIndex: c.discoveryIndex.Load()}
	if me := c.published.Load(); me != nil {
		h.DiskID, h.GroupID, h.IsBlank = formatDiskID(me.ID), me.GroupID, me.Blank
	}
	for _, x := range *c.hosts.Load() {
		h.Hosts = append(h.Hosts, x.Name)
	}
	return h
}

// post sends a packet, and gives the answer.
func (c *Node) post(ctx context.Context, address, path string, p *request) (*response, int, error) {
	if c.config.sendFault != nil {
		if err := c.config.sendFault(address); err != nil {
			return nil, 0, err
		}
	}
	b, err := json.Marshal(p)
	if err != nil {
		return nil, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, 0, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	if err != nil {
		return nil, res.StatusCode, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, res.StatusCode, fmt.Errorf("%s", bytes.TrimSpace(raw))
	}
	rep := &response{}
	if err := json.Unmarshal(raw, rep); err != nil {
		return nil, res.StatusCode, err
	}
	if rep.ProtocolVersion != ProtocolVersion || rep.Cluster != c.config.Cluster {
		return nil, res.StatusCode, fmt.Errorf("%s is of cluster %q, form %d", address, rep.Cluster,
			rep.ProtocolVersion)
	}
	return rep, res.StatusCode, nil
}

// line is the way to one other disk: a bounded queue and one post at a time, so that messages come in order.
type sendQueue struct {
	diskID   uint64
	mu       sync.Mutex
	messages []raftpb.Message
	bytes    int
	wake     chan struct{}
	cancel   context.CancelFunc
}

// put adds messages; what has no place is dropped, as the library expects of a network.
func (l *sendQueue) push(m raftpb.Message) bool {
	n := m.Size()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.messages) >= maxQueuedMessages || l.bytes+n > maxMessageBytes/2 && len(l.messages) > 0 {
		return false
	}
	l.messages = append(l.messages, m)
	l.bytes += n
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

func (l *sendQueue) takeAll() []raftpb.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.messages
	l.messages, l.bytes = nil, 0
	return q
}

// lineTo gives the way to a disk; called by the log's goroutine alone.
func (v *session) sendQueueTo(id uint64) *sendQueue {
	l := v.sendQueues[id]
	if l == nil {
		ctx, end := context.WithCancel(v.ctx)
		l = &sendQueue{diskID: id, wake: make(chan struct{}, 1), cancel: end}
		v.sendQueues[id] = l
		v.goroutines.Add(1)
		go func() {
			defer v.goroutines.Done()
			v.node.sendLoop(ctx, l)
		}()
	}
	return l
}

// carry sends what is queued for one disk until it ends.
func (c *Node) sendLoop(ctx context.Context, l *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		all := l.takeAll()
		p := &request{messageHeader: c.header()}
		p.ToDiskID, p.Hosts = formatDiskID(l.diskID), nil
		snaps := false
		for i := range all {
			raw, err := all[i].Marshal()
			if err != nil {
				continue
			}
			snaps = snaps || all[i].Type == raftpb.MsgSnap
			p.Messages = append(p.Messages, raw)
		}
		if len(p.Messages) == 0 {
			continue
		}
		err := errors.New("no address")
		var rep *response
		name := c.hostName(l.diskID)
		if to := c.dialAddress(name); to != "" {
			within, cancel := context.WithTimeout(ctx, requestTimeout)
			rep, _, err = c.post(within, to, "/council/raft", p)
			cancel()
		}
		if rep != nil {
			c.handleResponse(rep)
		}
		if err != nil && ctx.Err() == nil {
			c.log.Debug().Str("host", name).Err(err).Msg("not sent")
			c.reportSend(sendResult{diskID: l.diskID, snapshot: snaps, err: err})
		} else if snaps {
			c.reportSend(sendResult{diskID: l.diskID, snapshot: true})
		}
	}
}

// greet says hello to all other hosts every so often until the daemon ends: that is how those that know no
// member find one, and how a disk that is older than it was is found out.
func (c *Node) helloLoop(ctx context.Context) {
	defer c.goroutines.Done()
	t := time.NewTicker(c.config.HelloInterval)
	defer t.Stop()
	busy := map[string]chan struct{}{}
	for {
		for _, h := range *c.hosts.Load() {
			if h.Name == c.config.HostName || c.published.Load() == nil {
				continue
			}
			if busy[h.Name] == nil {
				busy[h.Name] = make(chan struct{}, 1)
			}
			slot := busy[h.Name]
			select {
			case slot <- struct{}{}:
			default:
				continue // the last one is not back yet
			}
			c.goroutines.Add(1)
			go func() {
				defer c.goroutines.Done()
				defer func() { <-slot }()
				within, cancel := context.WithTimeout(ctx, requestTimeout)
				defer cancel()
				if rep, _, err := c.post(within, c.dialAddress(h.Name), "/council/hello",
					&request{messageHeader: c.header()}); err == nil {
					c.handleResponse(rep)
				} else if ctx.Err() == nil {
					c.recordSendError(h.Name, err)
				}
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
