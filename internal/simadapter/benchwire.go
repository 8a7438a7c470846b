// Package simadapter speaks the bench's wire: it decodes each batch into calls on the gatekeepers that live
// in this process, and encodes what they decide into the reply.
package simadapter

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/transport/gossip"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
)

const usPerMs = 1000

// instance is one gatekeeper with the names that its wire uses. Instances share nothing.
type instance struct {
	num     int
	gk      *policy.Engine
	names   config.Names
	workers workers.Interner
	zones   workers.Interner
	kinds   workers.Interner
	acts    bool // has had an event in this batch
}

type link struct {
	out       *bufio.Writer
	now       float64 // ms
	instances map[int]*instance
	order     []*instance // those with events in this batch, in the order of the first
	lists     map[int][]any
	postings  []policy.Endpoint
	reports   []policy.Report
	buf       []byte
}

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	l := &link{out: bufio.NewWriterSize(out, 1<<16), instances: map[int]*instance{}, lists: map[int][]any{}}
	r := bufio.NewReaderSize(in, 1<<20)
	open := false
	for line := 1; ; line++ {
		b, err := readLine(r)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if len(b) > 0 {
			done, lerr := l.line(b, open)
			if lerr != nil {
				return fmt.Errorf("line %d: %w", line, lerr)
			}
			open = !done
		}
		if err != nil {
			if open {
				return fmt.Errorf("line %d: input ends within a batch", line)
			}
			return nil
		}
	}
}

// readLine gives the next line without its end; the last may come with io.EOF.
func readLine(r *bufio.Reader) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		whole := append([]byte(nil), b...)
		for errors.Is(err, bufio.ErrBufferFull) {
			b, err = r.ReadSlice('\n')
			whole = append(whole, b...)
		}
		b = whole
	}
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return b, err
}

// line takes one line and tells whether it ended its batch.
func (l *link) line(b []byte, open bool) (bool, error) {
	var m message
	if err := json.Unmarshal(b, &m.v); err != nil {
		return false, fmt.Errorf("not a message: %w", err)
	}
	word := m.text(0, "name")
	if m.err != nil {
		return false, m.err
	}
	switch {
	case word == "ROUND" && !open:
		l.now = m.num(1, "clock") / usPerMs
		return false, m.err
	case word == "END" && open:
		return true, l.reply()
	case word == "ROUND" || word == "END" || !open:
		return false, fmt.Errorf("%s out of place", word)
	}
	if err := l.event(word, &m, b); err != nil {
		return false, fmt.Errorf("%s: %w", word, err)
	}
	return false, nil
}

// event decodes one event into a call. A panic of the module is reported in the wire's own word.
func (l *link) event(word string, m *message, raw []byte) (err error) {
	if word == "SNAPSHOT_ROWS" {
		n := m.int(1, "list")
		rows := m.list(2, "entries")
		l.lists[n] = rows
		return m.err
	}
	num := m.int(1, "i")
	if m.err != nil {
		return m.err
	}
	in := l.instances[num]
	if word == "LAUNCH" {
		if in != nil {
			return fmt.Errorf("instance %d is already there", num)
		}
		return l.launch(num, m, raw)
	}
	if in == nil {
		return fmt.Errorf("no instance %d", num)
	}
	defer l.guard(in)
	l.touch(in)
	switch word {
	case "DETACH":
		delete(l.instances, num)
		in.gk = nil
	case "DIRECTORY_UPDATE":
		return l.roster(in, m)
	case "REQUEST":
		product, plan := m.text(4, "tier_class"), m.text(8, "terms")
		a := policy.Request{ID: uint64(m.num(2, "handle")), Customer: m.hex(3, "user_key"),
			SetSize: m.int(6, "set_size"), Units: m.num(7, "cost_units"), FirstGateway: m.int(10, "base"),
			TimeLeftMillis: m.num(11, "budget_us") / usPerMs}
		var ok bool
		if a.Product, ok = in.names.Products[product]; !ok && m.err == nil {
			return fmt.Errorf("class %q is not in the settings", product)
		}
		if a.Plan, ok = in.names.Plans[plan]; !ok && m.err == nil {
			return fmt.Errorf("plan %q is not in the settings", plan)
		}
		if m.err == nil {
			in.gk.AddRequest(a)
		}
	case "BEGUN":
		if id, n := uint64(m.num(2, "handle")), m.int(3, "leg"); m.err == nil {
			in.gk.ResponseStarted(id, n)
		}
	case "OUTCOME":
		id, n, code := uint64(m.num(2, "handle")), m.int(3, "leg"), m.text(5, "code")
		took, closed := m.num(6, "latency_us")/usPerMs, m.bool(7, "terminal")
		o, ok := outcomes[code]
		if m.err == nil && !ok {
			return fmt.Errorf("code %q is unknown", code)
		}
		if m.err == nil {
			if name, ok := m.at(4).(string); ok && m.at(10) != nil {
				in.gk.ReportWorkerLoad(in.workers.ID(name), burden(m.at(10)))
			}
			in.gk.AttemptEnded(id, n, o, took, closed)
		}
	case "GONE":
		if id := uint64(m.num(2, "handle")); m.err == nil {
			in.gk.ClientGone(id)
		}
	case "WHISPER":
		from, body := m.int(2, "author"), m.text(3, "payload")
		if m.err != nil {
			break
		}
		// What a peer sent is no fault of this wire: bytes that make no sense are dropped.
		if b, err := hex.DecodeString(body); err == nil {
			if l.reports, err = gossip.Decode(l.reports[:0], b); err == nil {
				in.gk.ReceiveReports(from, l.reports)
			}
		}
	case "REMINDER", "PROBE_RESULT", "COUNTED":
		// Each gives the instance its turn; nothing is asked of probes or of the counter.
	default:
		return errors.New("unknown event")
	}
	return m.err
}

// burden reads a load report. What it lacks, or what is no number, counts as not said.
func burden(v any) policy.WorkerLoad {
	of, _ := v.(map[string]any)
	at := func(name string) float64 {
		if f, ok := of[name].(float64); ok && f >= 0 {
			return f
		}
		return -1
	}
	return policy.WorkerLoad{InFlight: at("concurrent"), Queued: at("depth"), CPUFraction: at("load_share")}
}

var outcomes = map[string]policy.Outcome{
	"pass": policy.Succeeded, "fault": policy.Failed, "no_room": policy.Overloaded, "too_slow": policy.TimedOut,
	"no_route": policy.ConnectFailed, "cut": policy.ConnectionLost, "undone": policy.Cancelled, "stale_send": policy.NotSent,
}

func (l *link) launch(num int, m *message, raw []byte) error {
	seed := m.num(2, "salt")
	if len(m.v) < 4 {
		m.fail(3, "setup")
	}
	if m.err != nil {
		return m.err
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("setup: %w", err)
	}
	terms, err := config.ReadTerms(parts[3])
	if err != nil {
		return err
	}
	in := &instance{num: num, names: terms.Names}
	defer l.guard(in)
	in.gk = policy.New(terms.Charter, int64(seed))
	l.instances[num] = in
	l.touch(in)
	return nil
}

// touch gives an instance its turn in this batch's reply.
func (l *link) touch(in *instance) {
	in.gk.AdvanceTo(l.now)
	if !in.acts {
		in.acts = true
		l.order = append(l.order, in)
	}
}

func (l *link) roster(in *instance, m *message) error {
	form := m.text(2, "form")
	if m.err != nil {
		return m.err
	}
	switch form {
	case "lost":
		return nil
	case "incr", "total", "warm_copy":
	default:
		return fmt.Errorf("form %q is unknown", form)
	}
	list := m.int(4, "list")
	rows, ok := l.lists[list]
	if m.err == nil && !ok {
		return fmt.Errorf("no list %d", list)
	}
	l.postings = l.postings[:0]
	for _, r := range rows {
		v, _ := r.([]any)
		e := message{v: v}
		name, zone, state := e.text(0, "worker"), e.text(1, "locality"), e.text(4, "stage_state")
		p := policy.Endpoint{Cell: e.int(3, "block"), Active: state == "active",
			StartedAtMillis: e.opt(6) / usPerMs, SizeRating: e.opt(5)}
		if e.err != nil {
			return fmt.Errorf("list %d: %w", list, e.err)
		}
		p.Worker, p.Zone = in.workers.ID(name), in.zones.ID(zone)
		p.MachineKind = in.kinds.ID(e.word(2))
		l.postings = append(l.postings, p)
	}
	if m.err == nil {
		in.gk.UpdateEndpoints(l.postings, form == "incr")
	}
	return m.err
}

// guard reports a panic of the module in the wire's word for it.
func (l *link) guard(in *instance) {
	if p := recover(); p != nil {
		l.crash(in, p)
	}
}

func (l *link) crash(in *instance, p any) {
	text, _ := json.Marshal(fmt.Sprint(p))
	fmt.Fprintf(l.out, "[\"CRASH\",%d,%s]\n", in.num, text)
}

// reply pulls the decisions of each instance that had an event, and ends the batch.
func (l *link) reply() error {
	for _, in := range l.order {
		in.acts = false
		if in.gk != nil {
			l.pull(in)
		}
	}
	l.order = l.order[:0]
	l.out.WriteString("[\"READY\"]\n")
	if err := l.out.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

func (l *link) pull(in *instance) {
	defer l.guard(in)
	for {
		d, ok := in.gk.NextDecision()
		if !ok {
			return
		}
		l.encode(in, &d)
	}
}

func (l *link) encode(in *instance, d *policy.Decision) {
	b := append(l.buf[:0], '[', '"')
	switch d.Kind {
	case policy.Submit:
		b = ints(append(b, `TRANSMIT"`...), int64(in.num), int64(d.RequestID), us(d.WaitMillis))
		b = append(strconv.AppendQuote(append(b, ','), in.workers.Name(d.Worker)), ']')
	case policy.Reject:
		b = append(ints(append(b, `SAY_NO"`...), int64(in.num), int64(d.RequestID), us(d.WaitMillis)), ']')
	case policy.RejectUncertain:
		b = append(ints(append(b, `END_FAILED"`...), int64(in.num), int64(d.RequestID)), ']')
	case policy.Cancel:
		b = append(ints(append(b, `DROP_ATTEMPT"`...), int64(in.num), int64(d.RequestID), int64(d.Attempt)), ']')
	case policy.SendReports:
		b = ints(append(b, `NOTIFY"`...), int64(in.num), int64(d.Peer))
		var room [256]byte
		b = hex.AppendEncode(append(b, ',', '"'), gossip.Append(room[:0], d.Reports))
		b = append(b, '"', ']')
	case policy.SetTimer:
		b = append(ints(append(b, `SLEEP"`...), int64(in.num), us(d.AtMillis)), `,"w"]`...)
	}
	l.buf = append(b, '\n')
	l.out.Write(l.buf)
}

func ints(b []byte, vs ...int64) []byte {
	for _, v := range vs {
		b = strconv.AppendInt(append(b, ','), v, 10)
	}
	return b
}

// us rounds up, so that a time-out or a time to return is never nought by rounding.
func us(ms float64) int64 { return int64(math.Ceil(ms * usPerMs)) }
