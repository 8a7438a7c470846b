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
type hello struct {
	Form    int      `json:"form"`
	Cluster string   `json:"cluster"` // as the operators name it
	Name    string   `json:"name"`
	ID      string   `json:"id"`                // of its disk
	To      string   `json:"to,omitempty"`      // the disk that it speaks to, where that matters
	Council string   `json:"council,omitempty"` // that its disk belongs to
	Seq     uint64   `json:"seq"`               // writes of its disk
	Blank   bool     `json:"blank,omitempty"`   // it has nothing of any council
	Hosts   []string `json:"hosts,omitempty"`   // as its file has them
	Index   int64    `json:"index,omitempty"`   // the highest of discovery's list among its instances
}

// reply is who answers, and what it knows of the one that asked.
type reply struct {
	hello
	For    string `json:"for"`    // the disk that the rest speaks of: the asker's
	Heard  uint64 `json:"heard"`  // the most writes of the asker's disk that it has heard of
	Gone   bool   `json:"gone"`   // the asker's disk was a member once and is none any more
	Voter  bool   `json:"voter"`  // it is a member
	Leader string `json:"leader"` // the leader's name, if it knows one
	Says   string `json:"says,omitempty"`
}

// packet is one post: a hello with messages of the library.
type packet struct {
	hello
	Messages [][]byte `json:"messages,omitempty"`
}

// Refused counts what was not taken, by reason.
type refused struct {
	mu   sync.Mutex
	by   map[string]int64
	last map[string]string
}

func (r *refused) count(reason, says string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by, r.last = map[string]int64{}, map[string]string{}
	}
	r.by[reason]++
	r.last[reason] = says
}

func (r *refused) counts() (map[string]int64, map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, last := map[string]int64{}, map[string]string{}
	for k := range r.by {
		n[k], last[k] = r.by[k], r.last[k]
	}
	return n, last
}

// The reasons.
const (
	tooLong   = "too_long"
	garbled   = "garbled"
	otherForm = "other_form"
	otherName = "other_cluster"
	stranger  = "stranger"
	otherDisk = "other_disk" // to a disk that was here before, or from one that is a member no more
	crowded   = "queue_full"
)

// no is a refusal.
type no struct{ reason, says string }

func (n *no) Error() string { return n.says }

// read takes a packet in. An error is a *no.
func (c *Council) read(w http.ResponseWriter, r *http.Request) (*packet, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, longest))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return nil, &no{tooLong, fmt.Sprintf("a message of more than %d bytes", longest)}
	}
	if err != nil {
		return nil, &no{garbled, "a message that was cut short"}
	}
	var form struct {
		Form int `json:"form"`
	}
	p := &packet{}
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, &no{garbled, fmt.Sprintf("not a message of a council: %v", err)}
	}
	if form.Form != Form {
		return nil, &no{otherForm, fmt.Sprintf("a message of form %d, this daemon speaks form %d", form.Form, Form)}
	}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, &no{garbled, fmt.Sprintf("not a message of a council: %v", err)}
	}
	if p.Cluster != c.charter.Cluster {
		return nil, &no{otherName, fmt.Sprintf("%q is of cluster %q, this one is %q", p.Name, p.Cluster,
			c.charter.Cluster)}
	}
	if c.addressOf(p.Name) == "" || p.Name == c.charter.Me {
		return nil, &no{stranger, fmt.Sprintf("%q is none of the other hosts of %s", p.Name, c.charter.Me)}
	}
	if _, err := idOf(p.ID); err != nil {
		return nil, &no{garbled, fmt.Sprintf("%q has no id: %q", p.Name, p.ID)}
	}
	return p, nil
}

func idOf(hex string) (uint64, error) { return strconv.ParseUint(hex, 16, 64) }

// handler answers other daemons. Nothing of it waits for the log: what comes is put in a queue, and what is
// said is what was last made known.
func (c *Council) handler() http.Handler {
	mux := http.NewServeMux()
	serve := func(path string, take func(*packet) (string, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var p *packet
			var err error = &no{crowded, "more calls than this daemon can take"}
			select {
			case c.slots <- struct{}{}:
				defer func() { <-c.slots }()
				p, err = c.read(w, r)
			default:
			}
			says := ""
			if err == nil {
				says, err = take(p)
			}
			var why *no
			if errors.As(err, &why) {
				c.refused.count(why.reason, why.says)
				c.log.Debug().Str("reason", why.reason).Msg(why.says)
				http.Error(w, why.says, http.StatusForbidden)
				return
			}
			rep := c.replyTo(p)
			rep.Says = says
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(rep)
		})
	}
	serve("/council/hello", func(*packet) (string, error) { return "", nil })
	serve("/council/raft", c.take)
	serve("/council/join", c.join)
	return mux
}

// take puts the library's messages in the queue.
func (c *Council) take(p *packet) (string, error) {
	me := c.who.Load()
	if me == nil || p.To != hexOf(me.ID) {
		return "", &no{otherDisk, fmt.Sprintf("%q speaks to disk %s, which is not here", p.Name, p.To)}
	}
	if !me.Blank && p.Council != me.Council {
		return "", &no{otherName, fmt.Sprintf("%q is of council %s, this one is of %s", p.Name, p.Council,
			me.Council)}
	}
	if me.gone[p.ID] {
		return "", &no{otherDisk, fmt.Sprintf("%q speaks from disk %s, which is a member no more", p.Name, p.ID)}
	}
	from, _ := idOf(p.ID)
	in := inbox{council: p.Council, from: from, seq: p.Seq}
	for _, raw := range p.Messages {
		var m raftpb.Message
		if err := m.Unmarshal(raw); err != nil {
			return "", &no{garbled, fmt.Sprintf("%q sends what is no message: %v", p.Name, err)}
		}
		if m.From != from || m.To != me.ID {
			return "", &no{stranger, fmt.Sprintf("%q sends a message of %x to %x", p.Name, m.From, m.To)}
		}
		in.messages = append(in.messages, m)
	}
	select {
	case c.in <- in:
		return "", nil
	default:
		return "", &no{crowded, "more messages than this daemon can take in"}
	}
}

// replyTo says who is here, and books who has asked.
func (c *Council) replyTo(p *packet) reply {
	var rep reply
	rep.hello = c.hello()
	rep.For = p.ID
	if id, err := idOf(p.ID); err == nil {
		c.heardFrom(p.Name, id, p.hello)
		if s := c.disk.Load(); s != nil {
			rep.Heard = s.hear(id, p.Seq)
		}
	}
	if me := c.who.Load(); me != nil {
		rep.Gone, rep.Voter, rep.Leader = me.gone[p.ID], me.Voter, me.Leader
	}
	return rep
}

// hello is who this daemon is now.
func (c *Council) hello() hello {
	h := hello{Form: Form, Cluster: c.charter.Cluster, Name: c.charter.Me, Seq: c.seq.Load(),
		Index: c.index.Load()}
	if me := c.who.Load(); me != nil {
		h.ID, h.Council, h.Blank = hexOf(me.ID), me.Council, me.Blank
	}
	for _, x := range *c.hosts.Load() {
		h.Hosts = append(h.Hosts, x.Name)
	}
	return h
}

// post sends a packet, and gives the answer.
func (c *Council) post(ctx context.Context, address, path string, p *packet) (*reply, int, error) {
	if c.charter.link != nil {
		if err := c.charter.link(address); err != nil {
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
	rep := &reply{}
	if err := json.Unmarshal(raw, rep); err != nil {
		return nil, res.StatusCode, err
	}
	if rep.Form != Form || rep.Cluster != c.charter.Cluster {
		return nil, res.StatusCode, fmt.Errorf("%s is of cluster %q, form %d", address, rep.Cluster, rep.Form)
	}
	return rep, res.StatusCode, nil
}

// line is the way to one other disk: a bounded queue and one post at a time, so that messages come in order.
type line struct {
	id    uint64
	mu    sync.Mutex
	queue []raftpb.Message
	size  int
	wake  chan struct{}
	end   context.CancelFunc
}

// put adds messages; what has no place is dropped, as the library expects of a network.
func (l *line) put(m raftpb.Message) bool {
	n := m.Size()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= mostQueued || l.size+n > longest/2 && len(l.queue) > 0 {
		return false
	}
	l.queue = append(l.queue, m)
	l.size += n
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

func (l *line) all() []raftpb.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue
	l.queue, l.size = nil, 0
	return q
}

// lineTo gives the way to a disk; called by the log's goroutine alone.
func (v *life) lineTo(id uint64) *line {
	l := v.lines[id]
	if l == nil {
		ctx, end := context.WithCancel(v.ctx)
		l = &line{id: id, wake: make(chan struct{}, 1), end: end}
		v.lines[id] = l
		v.wait.Add(1)
		go func() {
			defer v.wait.Done()
			v.c.carry(ctx, l)
		}()
	}
	return l
}

// carry sends what is queued for one disk until it ends.
func (c *Council) carry(ctx context.Context, l *line) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		all := l.all()
		p := &packet{hello: c.hello()}
		p.To, p.Hosts = hexOf(l.id), nil
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
		var rep *reply
		name := c.nameOf(l.id)
		if to := c.reached(name); to != "" {
			within, cancel := context.WithTimeout(ctx, postWithin)
			rep, _, err = c.post(within, to, "/council/raft", p)
			cancel()
		}
		if rep != nil {
			c.answered(rep)
		}
		if err != nil && ctx.Err() == nil {
			c.log.Debug().Str("host", name).Err(err).Msg("not sent")
			c.report(sent{id: l.id, snap: snaps, err: err})
		} else if snaps {
			c.report(sent{id: l.id, snap: true})
		}
	}
}

// greet says hello to all other hosts every so often until the daemon ends: that is how those that know no
// member find one, and how a disk that is older than it was is found out.
func (c *Council) greet(ctx context.Context) {
	defer c.wait.Done()
	t := time.NewTicker(c.charter.Greet)
	defer t.Stop()
	busy := map[string]chan struct{}{}
	for {
		for _, h := range *c.hosts.Load() {
			if h.Name == c.charter.Me || c.who.Load() == nil {
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
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				defer func() { <-slot }()
				within, cancel := context.WithTimeout(ctx, postWithin)
				defer cancel()
				if rep, _, err := c.post(within, c.reached(h.Name), "/council/hello",
					&packet{hello: c.hello()}); err == nil {
					c.answered(rep)
				} else if ctx.Err() == nil {
					c.unheard(h.Name, err)
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
