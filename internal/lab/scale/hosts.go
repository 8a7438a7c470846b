package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
)

// hosts are the daemons of hollow hosts.
type hosts struct {
	h     *Hollow
	all   []*hollowHost
	below []*branchHost // those without a seat
	tally Tally         // with gatekeepers
	why   string
}

type hollowHost struct {
	seat   *raftlog.RulesetNode // nil in a trial
	trial  *ruleset.Version
	read   time.Time // when a trial's rules were last read, as the seat reads them
	server *http.Server
}

func newHosts(h *Hollow) *hosts { return &hosts{h: h} }

func (x *hosts) begin() error {
	for i := range x.h.Hosts {
		if h := &x.h.Hosts[i]; len(h.Upstream) > 0 || h.Changes {
			b := &branchHost{c: &x.h.Hosts[i], cluster: x.h.Cluster, tally: &x.tally}
			if err := b.start(); err != nil {
				return fmt.Errorf("%s: %w", b.c.Name, err)
			}
			x.below = append(x.below, b)
			continue
		}
		o, err := x.open(&x.h.Hosts[i])
		if err != nil {
			return fmt.Errorf("%s: %w", x.h.Hosts[i].Name, err)
		}
		x.all = append(x.all, o)
	}
	return nil
}

func (x *hosts) open(c *HollowHost) (*hollowHost, error) {
	o := &hollowHost{read: time.Now()}
	if c.Trial != "" {
		raw, err := os.ReadFile(c.Trial)
		if err != nil {
			return nil, err
		}
		o.trial = &ruleset.Version{Number: 1}
		if err := json.Unmarshal(raw, &o.trial.Rules); err != nil {
			return nil, err
		}
	} else {
		var err error
		o.seat, err = raftlog.NewRulesetNode(raftlog.Config{Cluster: x.h.Cluster, HostName: c.Name,
			Listen:    c.Listen,
			StorePath: c.Store, Hosts: c.Voters, Bootstrap: true}, nil, nil, zerolog.Nop())
		if err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", c.Control)
	if err != nil {
		o.close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+lifecycle.LeasePath, o.lease)
	o.server = &http.Server{Handler: mux, ReadTimeout: time.Second, WriteTimeout: time.Second,
		MaxHeaderBytes: 4096, IdleTimeout: time.Minute}
	go func() { _ = o.server.Serve(listener{l, &x.tally}) }()
	return o, nil
}

func (o *hollowHost) close() {
	if o.server != nil {
		_ = o.server.Close()
	}
	if o.seat != nil {
		o.seat.Close()
	}
}

// lease answers as supervisor.Daemon.handleLease does, but for the processes: whoever asks is one.
func (o *hollowHost) lease(w http.ResponseWriter, r *http.Request) {
	name := r.FormValue("instance")
	pid, err := strconv.Atoi(r.FormValue("pid"))
	holds, bad := strconv.ParseUint(r.FormValue("holds"), 10, 64)
	index, worse := strconv.ParseInt(r.FormValue("index"), 10, 64)
	if err := errors.Join(err, bad, worse); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var l ruleset.Lease
	if o.seat != nil {
		w.Header().Set(lifecycle.DiscoveryIndexHeader, strconv.FormatInt(o.seat.HighestDiscoveryIndex(), 10))
		var ok bool
		if l, ok = o.seat.RenewLease(pid, name, holds, index); !ok {
			http.Error(w, "no quorum has confirmed within the lease what is in force",
				http.StatusServiceUnavailable)
			return
		}
	} else {
		l = ruleset.Lease{Step: 1, Version: *o.trial, TransitionComplete: true, AgeMillis: 100}
	}
	raw, err := l.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// end and again concern gatekeepers alone: the daemon books what its processes say.
func (x *hosts) end(o Order) {
	for _, h := range x.all {
		for pid := o.From; pid < o.To && h.seat != nil; pid++ {
			h.seat.ProcessExited(pid)
		}
	}
	for i, b := range x.below {
		if b.ended(o.From, o.To); i < o.Hosts {
			b.end()
		}
	}
}

func (x *hosts) again(o Order) {
	for _, b := range x.below[:min(o.Hosts, len(x.below))] {
		if b.trial != nil {
			x.change(b)
		} else if b.server == nil {
			if err := b.start(); err != nil {
				x.why = err.Error()
			}
		}
	}
}

// change puts other rules in force at a trial's host.
func (x *hosts) change(b *branchHost) {
	if err := b.change(); err != nil {
		x.why = err.Error()
	}
}

func (x *hosts) report(_ Order, r *Report) {
	r.Count, r.Err = len(x.all)+len(x.below), x.why
	r.In, r.Out, r.Messages = x.tally.In.Load(), x.tally.Out.Load(), x.tally.Messages.Load()
	for _, b := range x.below {
		in, out, asks := b.traffic()
		r.In, r.Out, r.Messages = r.In+in, r.Out+out, r.Messages+asks
		r.UpIn, r.UpOut = r.UpIn+in, r.UpOut+out
	}
	for _, o := range x.all {
		if o.seat != nil {
			r.Version = max(r.Version, o.seat.InForce().Number)
		}
	}
}

func (x *hosts) close() {
	for _, o := range x.all {
		o.close()
	}
	for _, b := range x.below {
		b.end()
	}
}
