package raftlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

const maxResponseBytes = 1 << 16

// sendResult is what became of raft messages to a peer.
type sendResult struct {
	diskID   uint64 // the receiver's
	snapshot bool   // a snapshot was among them
	err      error
}

// post sends a request to an address and returns the response.
func (n *Node) post(ctx context.Context, address, path string, r *request) (*response, error) {
	if n.config.sendFault != nil {
		if err := n.config.sendFault(address); err != nil {
			return nil, err
		}
	}
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path,
		bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpResponse, err := n.client.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return nil, errors.New(string(bytes.TrimSpace(raw)))
	}
	answer := &response{}
	if err := json.Unmarshal(raw, answer); err != nil {
		return nil, err
	}
	if answer.ProtocolVersion != ProtocolVersion || answer.Cluster != n.config.Cluster {
		return nil, fmt.Errorf("%s is of cluster %q, form %d", address, answer.Cluster, answer.ProtocolVersion)
	}
	return answer, nil
}

// sendQueue is the bounded queue of raft messages to one peer's disk. One goroutine sends them, one request
// at a time, so that they arrive in order.
type sendQueue struct {
	diskID uint64
	wake   chan struct{}      // signals that messages were pushed
	cancel context.CancelFunc // ends the goroutine

	mu       sync.Mutex // guards the fields below
	messages []raftpb.Message
	bytes    int
}

// push queues a message, or returns false if the queue is full.
func (q *sendQueue) push(message raftpb.Message) bool {
	size := message.Size()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) >= maxQueuedMessages || q.bytes+size > maxMessageBytes/2 && len(q.messages) > 0 {
		return false
	}
	q.messages = append(q.messages, message)
	q.bytes += size
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// takeAll empties the queue and returns what was in it.
func (q *sendQueue) takeAll() []raftpb.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages := q.messages
	q.messages, q.bytes = nil, 0
	return messages
}

// sendQueueTo returns the queue to a disk, with a new goroutine if there was none. The session's goroutine
// alone calls it.
func (s *session) sendQueueTo(diskID uint64) *sendQueue {
	queue := s.sendQueues[diskID]
	if queue == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		queue = &sendQueue{diskID: diskID, wake: make(chan struct{}, 1), cancel: cancel}
		s.sendQueues[diskID] = queue
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.node.sendLoop(ctx, queue)
		}()
	}
	return queue
}

// sendLoop sends what is queued for one disk until ctx ends.
func (n *Node) sendLoop(ctx context.Context, queue *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.wake:
		}
		messages := queue.takeAll()
		r := &request{messageHeader: n.header()}
		r.ToDiskID, r.Hosts = formatDiskID(queue.diskID), nil
		hasSnapshot := false
		for i := range messages {
			raw, err := messages[i].Marshal()
			if err != nil {
				continue
			}
			hasSnapshot = hasSnapshot || messages[i].Type == raftpb.MsgSnap
			r.Messages = append(r.Messages, raw)
		}
		if len(r.Messages) > 0 {
			n.postMessages(ctx, queue.diskID, r, hasSnapshot)
		}
	}
}

// postMessages sends one request with raft messages, and reports to raft what became of it.
func (n *Node) postMessages(ctx context.Context, diskID uint64, r *request, hasSnapshot bool) {
	err := errors.New("no address")
	var answer *response
	name := n.hostNameOf(diskID)
	if address := n.dialAddress(name); address != "" {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		answer, err = n.post(requestCtx, address, raftPath, r)
		cancel()
	}
	if answer != nil {
		n.handleResponse(answer)
	}
	if err != nil && ctx.Err() == nil {
		n.log.Debug().Str("host", name).Err(err).Msg("raft messages not sent")
		n.reportSend(sendResult{diskID: diskID, snapshot: hasSnapshot, err: err})
	} else if hasSnapshot {
		n.reportSend(sendResult{diskID: diskID, snapshot: true})
	}
}

// helloLoop sends a hello to each other host in every HelloInterval until ctx ends. So a daemon without a
// group finds one, and a stale disk is found out.
func (n *Node) helloLoop(ctx context.Context) {
	defer n.goroutines.Done()
	ticker := time.NewTicker(n.config.HelloInterval)
	defer ticker.Stop()
	inFlight := map[string]chan struct{}{} // by host: a slot for its one hello in flight
	for {
		for _, host := range *n.hosts.Load() {
			if host.Name == n.config.HostName || n.published.Load() == nil {
				continue
			}
			if inFlight[host.Name] == nil {
				inFlight[host.Name] = make(chan struct{}, 1)
			}
			slot := inFlight[host.Name]
			select {
			case slot <- struct{}{}:
			default:
				continue // the last hello is still in flight
			}
			n.goroutines.Add(1)
			go func() {
				defer n.goroutines.Done()
				defer func() { <-slot }()
				n.sendHello(ctx, host.Name)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHello sends one hello to a host and handles the response.
func (n *Node) sendHello(ctx context.Context, name string) {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := n.post(requestCtx, n.dialAddress(name), helloPath, &request{messageHeader: n.header()})
	if err == nil {
		n.handleResponse(answer)
	} else if ctx.Err() == nil {
		n.recordSendError(name, err)
	}
}
