package raftlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"go.etcd.io/raft/v3/raftpb"
)

// requestHandler handles a decoded request and returns the response's message. An error is a *rejectionError.
type requestHandler func(*request) (message string, err error)

// handler serves the other daemons. It never waits for the session: raft messages are queued, and responses
// are made of what the session has last published.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+helloPath, n.serve(func(*request) (string, error) { return "", nil }))
	mux.HandleFunc("POST "+raftPath, n.serve(n.handleMessages))
	mux.HandleFunc("POST "+joinPath, n.serve(n.handleJoin))
	return mux
}

// serve decodes a request, has it handled and writes the response.
func (n *Node) serve(handle requestHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, httpRequest *http.Request) {
		var r *request
		var err error = &rejectionError{reasonQueueFull, "more requests than this daemon can take"}
		select {
		case n.requestSlots <- struct{}{}:
			defer func() { <-n.requestSlots }()
			r, err = n.decodeRequest(w, httpRequest)
		default:
		}
		message := ""
		if err == nil {
			message, err = handle(r)
		}
		var rejected *rejectionError
		if errors.As(err, &rejected) {
			n.rejections.add(rejected.reason, rejected.message)
			n.log.Debug().Str("reason", rejected.reason).Msg(rejected.message)
			http.Error(w, rejected.message, http.StatusForbidden)
			return
		}
		answer := n.newResponse(r)
		answer.Message = message
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // the client sees that it is cut short
	}
}

// decodeRequest reads and checks a request. An error is a *rejectionError.
func (n *Node) decodeRequest(w http.ResponseWriter, httpRequest *http.Request) (*request, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, httpRequest.Body, maxMessageBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, &rejectionError{reasonTooLong, fmt.Sprintf("a message of more than %d bytes", maxMessageBytes)}
	}
	if err != nil {
		return nil, &rejectionError{reasonMalformed, "a message that was cut short"}
	}
	// The version comes first: a message of another one need not fit the rest.
	var versionOnly struct {
		ProtocolVersion int `json:"form"`
	}
	if err := json.Unmarshal(raw, &versionOnly); err != nil {
		return nil, &rejectionError{reasonMalformed, fmt.Sprintf("not a message of a raft group: %v", err)}
	}
	if versionOnly.ProtocolVersion != ProtocolVersion {
		return nil, &rejectionError{reasonProtocolVersion,
			fmt.Sprintf("a message of form %d, this daemon speaks form %d",
				versionOnly.ProtocolVersion, ProtocolVersion)}
	}
	r := &request{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, &rejectionError{reasonMalformed, fmt.Sprintf("not a message of a raft group: %v", err)}
	}
	if err := n.checkSender(&r.messageHeader); err != nil {
		return nil, err
	}
	return r, nil
}

// checkSender checks that a message comes from another host of this group. An error is a *rejectionError.
func (n *Node) checkSender(header *messageHeader) error {
	if header.Cluster != n.config.Cluster {
		return &rejectionError{reasonOtherCluster, fmt.Sprintf("%q is of cluster %q, this one is %q",
			header.HostName, header.Cluster, n.config.Cluster)}
	}
	if n.hostAddress(header.HostName) == "" || header.HostName == n.config.HostName {
		return &rejectionError{reasonUnknownHost, fmt.Sprintf("%q is none of the other hosts of %s",
			header.HostName, n.config.HostName)}
	}
	if _, err := parseDiskID(header.DiskID); err != nil {
		return &rejectionError{reasonMalformed, fmt.Sprintf("%q has no id: %q", header.HostName, header.DiskID)}
	}
	return nil
}

// handleMessages queues raft messages for the session.
func (n *Node) handleMessages(r *request) (message string, err error) {
	current := n.published.Load()
	if current == nil || r.ToDiskID != formatDiskID(current.diskID) {
		return "", &rejectionError{reasonOtherDisk,
			fmt.Sprintf("%q speaks to disk %s, which is not here", r.HostName, r.ToDiskID)}
	}
	if !current.isBlank && r.GroupID != current.groupID {
		return "", &rejectionError{reasonOtherCluster,
			fmt.Sprintf("%q is of council %s, this one is of %s", r.HostName, r.GroupID, current.groupID)}
	}
	if current.removed[r.DiskID] {
		return "", &rejectionError{reasonOtherDisk,
			fmt.Sprintf("%q speaks from disk %s, which is a member no more", r.HostName, r.DiskID)}
	}
	from, _ := parseDiskID(r.DiskID) // checked when the request was decoded
	batch := inboundBatch{groupID: r.GroupID, fromDiskID: from, writeSeq: r.WriteSeq}
	for _, raw := range r.Messages {
		var m raftpb.Message
		if err := m.Unmarshal(raw); err != nil {
			return "", &rejectionError{reasonMalformed,
				fmt.Sprintf("%q sends what is no message: %v", r.HostName, err)}
		}
		if m.From != from || m.To != current.diskID {
			return "", &rejectionError{reasonUnknownHost,
				fmt.Sprintf("%q sends a message of %x to %x", r.HostName, m.From, m.To)}
		}
		batch.messages = append(batch.messages, m)
	}
	select {
	case n.inbound <- batch:
		return "", nil
	default:
		return "", &rejectionError{reasonQueueFull, "more messages than this daemon can take in"}
	}
}

// newResponse returns what this daemon knows of itself and of the requesting disk, and records the contact.
func (n *Node) newResponse(r *request) response {
	answer := response{messageHeader: n.header(), ForDiskID: r.DiskID}
	if id, err := parseDiskID(r.DiskID); err == nil {
		n.recordContact(r.HostName, id, r.messageHeader)
		if s := n.currentStore.Load(); s != nil {
			answer.HighestWriteSeq = s.recordPeerSeq(id, r.WriteSeq)
		}
	}
	if current := n.published.Load(); current != nil {
		answer.Removed = current.removed[r.DiskID]
		answer.IsVoter, answer.LeaderName = current.isVoter, current.leaderName
	}
	return answer
}

// header returns the header of this daemon's messages as of now.
func (n *Node) header() messageHeader {
	header := messageHeader{ProtocolVersion: ProtocolVersion, Cluster: n.config.Cluster,
		HostName: n.config.HostName, WriteSeq: n.writeSeq.Load(), DiscoveryIndex: n.discoveryIndex.Load()}
	if current := n.published.Load(); current != nil {
		header.DiskID, header.GroupID = formatDiskID(current.diskID), current.groupID
		header.IsBlank = current.isBlank
	}
	for _, host := range *n.hosts.Load() {
		header.Hosts = append(header.Hosts, host.Name)
	}
	return header
}
