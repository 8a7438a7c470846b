package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"

	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
)

// Hollow is what a hollow process is told at its start. It plays one role, so that its memory and its
// processor time are that role's; its first line is this, each next one an Order. It ends with its input.
type Hollow struct {
	Role    string
	Cluster string
	Hosts   []HollowHost   `json:",omitempty"` // role host
	Keepers []HollowKeeper `json:",omitempty"` // role gatekeeper
	Plans   []ruleset.Plan `json:",omitempty"` // that gatekeepers are born with
	PerS    float64        `json:",omitempty"` // gatekeepers that are begun in a second; 0: all at once
	Dir     string         `json:",omitempty"` // rear: of the run
	Watch   *HollowWatch   `json:",omitempty"` // role discovery: whoever follows its list
}

// HollowHost is a host's daemon without instances of its own: the seat in the council and the answers to
// gatekeepers are the real ones, the books on processes are not. With Trial it has no seat, and tells the
// rules of that file unchecked.
type HollowHost struct {
	Name, Listen, Control, Store string
	Voters                       []raftlog.Host
	Trial                        string   `json:",omitempty"`
	Upstream                     []string `json:",omitempty"` // it has no seat and follows these
	Changes                      bool     `json:",omitempty"` // of a trial: it tells changes, new ones by order
}

// HollowKeeper is a gatekeeper without a txn path.
type HollowKeeper struct {
	Name    string
	Pid     int // as its daemon knows it
	Host    string
	LeaseMS float64
	Changes bool // it asks for changes, as below relays
	Trial   bool // rules that do not pass the check are gone by, as a trial
}

// HollowWatch is what follows discovery's list.
type HollowWatch struct {
	Discovery string
	Watches   int
	Seed      int64
}

// Order is one line to a hollow process.
type Order struct {
	Do       string // begin, figures, reached, end, again
	Version  uint64 `json:",omitempty"` // reached: of the rules, or of the list
	From, To int    `json:",omitempty"` // end, again: keepers by number
	Hosts    int    `json:",omitempty"` // end, again: so many of the first hosts, where they have no seat
}

// Report is its answer.
type Report struct {
	Err            string  `json:",omitempty"`
	CPU            float64 // s of processor time since its start
	RSS            float64 // bytes
	Descriptors    int
	In, Out        int64
	UpIn, UpOut    int64 // of these, with relays
	Messages       int64
	Count          int       // that run
	Reached        int       // that go by the version, or a later one
	At             []float64 `json:",omitempty"` // once all do: when each came to, boot
	Late           int64     // answers that were older than what was known
	Silent         int64     // questions without an answer
	Spoilt         int64     // answers that can't be gone by
	Why            string    `json:",omitempty"` // the last of these
	AnswerBytes    int64     // of the last answer
	First          []float64 `json:",omitempty"` // watches: ms until the first list was there
	Place          []float64 `json:",omitempty"` // ms that it took to take the first list in
	Change         []float64 `json:",omitempty"` // ms that it took to take each later one in
	Workers        int
	Version        uint64
	Failed         string `json:",omitempty"` // why the last watch ended
	FailedTimes    int
	HeapPerElement float64
}

// part is what a hollow process plays.
type part interface {
	begin() error
	end(o Order)
	again(o Order)
	report(o Order, r *Report)
	close()
}

// RunHollow plays a role by orders until its input ends or ctx does.
func RunHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("what to play: %w", err)
	}
	var h Hollow
	if err := json.Unmarshal(first, &h); err != nil {
		return fmt.Errorf("what to play: %w", err)
	}
	var x part
	switch h.Role {
	case hostRole:
		x = newHosts(&h)
	case keeperRole:
		x = newKeepers(&h)
	case listRole:
		x = newWatches(h.Watch)
	case rearRole:
		x = newRear(&h)
	default:
		return fmt.Errorf("role: %q can't be played hollow", h.Role)
	}
	defer x.close()
	orders := make(chan Order)
	go func() {
		defer close(orders)
		for {
			line, err := lines.ReadBytes('\n')
			var o Order
			if err != nil || json.Unmarshal(line, &o) != nil {
				return
			}
			select {
			case orders <- o:
			case <-ctx.Done():
				return
			}
		}
	}()
	answers := json.NewEncoder(out)
	for {
		var o Order
		select {
		case <-ctx.Done():
			return nil
		case next, more := <-orders:
			if !more {
				return nil
			}
			o = next
		}
		var r Report
		switch o.Do {
		case "begin":
			if err := x.begin(); err != nil {
				r.Err = err.Error()
			}
		case "end":
			x.end(o)
		case "again":
			x.again(o)
		}
		x.report(o, &r)
		r.CPU, r.RSS, r.Descriptors = usage(os.Getpid())
		if err := answers.Encode(&r); err != nil {
			return err
		}
	}
}

// clockTicks are what /proc counts processor time in, 1/s: the kernel's interface fixes it at 100.
const clockTicks = 100.0

// bornAt gives when the kernel started a process, in its ticks; nothing where there is none, or it has ended.
func bornAt(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	const state, since = 0, 19 // behind the name
	if err != nil || len(f) <= since || f[state] == "Z" {
		return ""
	}
	return f[since]
}

// usage gives a process's processor time, s, its resident memory, bytes, and its open descriptors.
func usage(pid int) (cpu, rss float64, descriptors int) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	const user, system, resident = 11, 12, 21 // behind the name
	if len(f) <= resident {
		return 0, 0, 0
	}
	u, _ := strconv.ParseFloat(f[user], 64)
	s, _ := strconv.ParseFloat(f[system], 64)
	r, _ := strconv.ParseFloat(f[resident], 64)
	if dir, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		descriptors = len(dir)
	}
	return (u + s) / clockTicks, r * float64(syscall.Getpagesize()), descriptors
}
