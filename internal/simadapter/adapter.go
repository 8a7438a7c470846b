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

const microsPerMilli = 1000

// instance is one gateway, with the tables that map its names on the wire to numbers. Instances share no
// state.
type instance struct {
	number    int
	gateway   *policy.Engine
	names     config.Names
	workers   workers.Interner
	zones     workers.Interner
	kinds     workers.Interner
	hasEvents bool // it has received an event in this batch
}

// adapter has the instances, the endpoint lists by number and the buffers that are reused between batches.
type adapter struct {
	output        *bufio.Writer
	now           float64 // ms
	instances     map[int]*instance
	active        []*instance // instances with events in this batch, in the order of their first event
	endpointLists map[int][]any
	endpoints     []policy.Endpoint
	reports       []policy.Report
	buffer        []byte
}

// Run reads batches from in and writes the replies to out until the input ends. An error names the line.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{output: bufio.NewWriterSize(out, 1<<16), instances: map[int]*instance{},
		endpointLists: map[int][]any{}}
	reader := bufio.NewReaderSize(in, 1<<20)
	inBatch := false
	for line := 1; ; line++ {
		text, err := readLine(reader)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if len(text) > 0 {
			done, lineErr := a.handleLine(text, inBatch)
			if lineErr != nil {
				return fmt.Errorf("line %d: %w", line, lineErr)
			}
			inBatch = !done
		}
		if err != nil {
			if inBatch {
				return fmt.Errorf("line %d: input ends within a batch", line)
			}
			return nil
		}
	}
}

// readLine returns the next line without its line end. The last one may be returned together with io.EOF.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), text...)
		for errors.Is(err, bufio.ErrBufferFull) {
			text, err = r.ReadSlice('\n')
			long = append(long, text...)
		}
		text = long
	}
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return text, err
}

// handleLine handles one line and reports whether it ended its batch.
func (a *adapter) handleLine(text []byte, inBatch bool) (bool, error) {
	var fields message
	if err := json.Unmarshal(text, &fields.values); err != nil {
		return false, fmt.Errorf("not a message: %w", err)
	}
	name := fields.text(0, "name")
	if fields.err != nil {
		return false, fields.err
	}
	switch {
	case name == "ROUND" && !inBatch:
		a.now = fields.float(1, "clock") / microsPerMilli
		return false, fields.err
	case name == "END" && inBatch:
		return true, a.reply()
	case name == "ROUND" || name == "END" || !inBatch:
		return false, fmt.Errorf("%s out of place", name)
	}
	if err := a.handleEvent(name, &fields, text); err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return false, nil
}

// handleEvent decodes one event and calls the instance accordingly. A panic of the policy is reported on the
// wire as a crash of the instance.
func (a *adapter) handleEvent(name string, fields *message, raw []byte) (err error) {
	if name == "SNAPSHOT_ROWS" {
		n := fields.int(1, "list")
		rows := fields.list(2, "entries")
		a.endpointLists[n] = rows
		return fields.err
	}
	number := fields.int(1, "i")
	if fields.err != nil {
		return fields.err
	}
	in := a.instances[number]
	if name == "LAUNCH" {
		if in != nil {
			return fmt.Errorf("instance %d is already there", number)
		}
		return a.launch(number, fields, raw)
	}
	if in == nil {
		return fmt.Errorf("no instance %d", number)
	}
	defer a.reportPanic(in)
	a.activate(in)
	switch name {
	case "DETACH":
		delete(a.instances, number)
		in.gateway = nil
	case "DIRECTORY_UPDATE":
		return a.updateEndpoints(in, fields)
	case "REQUEST":
		return handleRequest(in, fields)
	case "BEGUN":
		if id, n := uint64(fields.float(2, "handle")), fields.int(3, "leg"); fields.err == nil {
			in.gateway.ResponseStarted(id, n)
		}
	case "OUTCOME":
		return handleOutcome(in, fields)
	case "GONE":
		if id := uint64(fields.float(2, "handle")); fields.err == nil {
			in.gateway.ClientGone(id)
		}
	case "WHISPER":
		a.handlePeerMessage(in, fields)
	case "REMINDER", "PROBE_RESULT", "COUNTED":
		// These events only activate the instance. The values of health checks and of the counter are not used.
	default:
		return errors.New("unknown event")
	}
	return fields.err
}

// handleRequest passes a client's request to the policy.
func handleRequest(in *instance, fields *message) error {
	product, plan := fields.text(4, "tier_class"), fields.text(8, "terms")
	request := policy.Request{ID: uint64(fields.float(2, "handle")), Customer: fields.hex(3, "user_key"),
		SetSize: fields.int(
			6,
			"set_size",
		), Units: fields.float(7, "cost_units"), FirstGateway: fields.int(10, "base"),
		TimeLeftMillis: fields.float(11, "budget_us") / microsPerMilli}
	var ok bool
	if request.Product, ok = in.names.Products[product]; !ok && fields.err == nil {
		return fmt.Errorf("class %q is not in the settings", product)
	}
	if request.Plan, ok = in.names.Plans[plan]; !ok && fields.err == nil {
		return fmt.Errorf("plan %q is not in the settings", plan)
	}
	if fields.err == nil {
		in.gateway.AddRequest(request)
	}
	return fields.err
}

// handleOutcome reports the end of an attempt to the policy, and the worker's load if the answer has it.
func handleOutcome(in *instance, fields *message) error {
	id, n, code := uint64(fields.float(2, "handle")), fields.int(3, "leg"), fields.text(5, "code")
	latency, final := fields.float(6, "latency_us")/microsPerMilli, fields.bool(7, "terminal")
	outcome, ok := outcomes[code]
	if fields.err == nil && !ok {
		return fmt.Errorf("code %q is unknown", code)
	}
	if fields.err == nil {
		if name, ok := fields.at(4).(string); ok && fields.at(10) != nil {
			in.gateway.ReportWorkerLoad(in.workers.ID(name), decodeLoad(fields.at(10)))
		}
		in.gateway.AttemptEnded(id, n, outcome, latency, final)
	}
	return fields.err
}

// handlePeerMessage passes a peer's message to the policy. A message that cannot be decoded is dropped, as
// it is on a socket: the simulator's own protocol is intact.
func (a *adapter) handlePeerMessage(in *instance, fields *message) {
	from, body := fields.int(2, "author"), fields.text(3, "payload")
	if fields.err != nil {
		return
	}
	raw, err := hex.DecodeString(body)
	if err != nil {
		return
	}
	if a.reports, err = gossip.Decode(a.reports[:0], raw); err == nil {
		in.gateway.ReceiveReports(from, a.reports)
	}
}

// decodeLoad decodes a load report. A value that is missing, negative or not a number becomes -1, which means
// not reported.
func decodeLoad(value any) policy.WorkerLoad {
	report, _ := value.(map[string]any)
	figure := func(name string) float64 {
		if number, ok := report[name].(float64); ok && number >= 0 {
			return number
		}
		return -1
	}
	return policy.WorkerLoad{
		InFlight:    figure("concurrent"),
		Queued:      figure("depth"),
		CPUFraction: figure("load_share"),
	}
}

// outcomes maps the simulator's codes for the end of an attempt to outcomes.
var outcomes = map[string]policy.Outcome{
	"pass": policy.Succeeded, "fault": policy.Failed, "no_room": policy.Overloaded, "too_slow": policy.TimedOut,
	"no_route": policy.ConnectFailed, "cut": policy.ConnectionLost, "undone": policy.Cancelled,
	"stale_send": policy.NotSent,
}

// launch starts an instance with the settings of the event.
func (a *adapter) launch(number int, fields *message, raw []byte) error {
	seed := fields.float(2, "salt")
	if len(fields.values) < 4 {
		fields.fail(3, "setup")
	}
	if fields.err != nil {
		return fields.err
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("setup: %w", err)
	}
	settings, err := config.DecodeSettings(parts[3])
	if err != nil {
		return err
	}
	in := &instance{number: number, names: settings.Names}
	defer a.reportPanic(in)
	in.gateway = policy.New(settings.Policy, int64(seed))
	a.instances[number] = in
	a.activate(in)
	return nil
}

// activate advances the instance's clock and adds it to the instances that reply to this batch.
func (a *adapter) activate(in *instance) {
	in.gateway.AdvanceTo(a.now)
	if !in.hasEvents {
		in.hasEvents = true
		a.active = append(a.active, in)
	}
}

// updateEndpoints passes an endpoint list or a change of it to the policy.
func (a *adapter) updateEndpoints(in *instance, fields *message) error {
	form := fields.text(2, "form")
	if fields.err != nil {
		return fields.err
	}
	switch form {
	case "lost":
		return nil
	case "incr", "total", "warm_copy":
	default:
		return fmt.Errorf("form %q is unknown", form)
	}
	list := fields.int(4, "list")
	rows, ok := a.endpointLists[list]
	if fields.err == nil && !ok {
		return fmt.Errorf("no list %d", list)
	}
	a.endpoints = a.endpoints[:0]
	for _, row := range rows {
		values, _ := row.([]any)
		entry := message{values: values}
		name, zone, state := entry.text(0, "worker"), entry.text(1, "locality"), entry.text(4, "stage_state")
		endpoint := policy.Endpoint{Cell: entry.int(3, "block"), Active: state == "active",
			StartedAtMillis: entry.optionalFloat(6) / microsPerMilli, SizeRating: entry.optionalFloat(5)}
		if entry.err != nil {
			return fmt.Errorf("list %d: %w", list, entry.err)
		}
		endpoint.Worker, endpoint.Zone = in.workers.ID(name), in.zones.ID(zone)
		endpoint.MachineKind = in.kinds.ID(entry.optionalText(2))
		a.endpoints = append(a.endpoints, endpoint)
	}
	if fields.err == nil {
		in.gateway.UpdateEndpoints(a.endpoints, form == "incr")
	}
	return fields.err
}

// reportPanic recovers from a panic of the policy and reports it.
func (a *adapter) reportPanic(in *instance) {
	if cause := recover(); cause != nil {
		a.writeCrash(in, cause)
	}
}

// writeCrash writes the crash of an instance.
func (a *adapter) writeCrash(in *instance, cause any) {
	text, _ := json.Marshal(fmt.Sprint(cause))
	fmt.Fprintf(a.output, "[\"CRASH\",%d,%s]\n", in.number, text)
}

// reply writes the decisions of each active instance and the line that ends the reply.
func (a *adapter) reply() error {
	for _, in := range a.active {
		in.hasEvents = false
		if in.gateway != nil {
			a.writeDecisions(in)
		}
	}
	a.active = a.active[:0]
	_, _ = a.output.WriteString("[\"READY\"]\n") // Flush returns its error
	if err := a.output.Flush(); err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return nil
}

// writeDecisions writes all decisions of an instance that are due.
func (a *adapter) writeDecisions(in *instance) {
	defer a.reportPanic(in)
	for {
		decision, ok := in.gateway.NextDecision()
		if !ok {
			return
		}
		a.writeDecision(in, &decision)
	}
}

// writeDecision encodes one decision as a line.
func (a *adapter) writeDecision(in *instance, decision *policy.Decision) {
	line := append(a.buffer[:0], '[', '"')
	switch decision.Kind {
	case policy.Submit:
		line = appendInts(append(line, `TRANSMIT"`...), int64(in.number), int64(decision.RequestID),
			micros(decision.WaitMillis))
		line = append(strconv.AppendQuote(append(line, ','), in.workers.Name(decision.Worker)), ']')
	case policy.Reject:
		line = append(appendInts(append(line, `SAY_NO"`...), int64(in.number), int64(decision.RequestID),
			micros(decision.WaitMillis)), ']')
	case policy.RejectUncertain:
		line = append(appendInts(append(line, `END_FAILED"`...), int64(in.number), int64(decision.RequestID)), ']')
	case policy.Cancel:
		line = append(appendInts(append(line, `DROP_ATTEMPT"`...), int64(in.number), int64(decision.RequestID),
			int64(decision.Attempt)), ']')
	case policy.SendReports:
		line = appendInts(append(line, `NOTIFY"`...), int64(in.number), int64(decision.Peer))
		var reports [256]byte
		line = hex.AppendEncode(append(line, ',', '"'), gossip.Append(reports[:0], decision.Reports))
		line = append(line, '"', ']')
	case policy.SetTimer:
		line = append(
			appendInts(append(line, `SLEEP"`...), int64(in.number), micros(decision.AtMillis)),
			`,"w"]`...)
	}
	a.buffer = append(line, '\n')
	_, _ = a.output.Write(a.buffer) // Flush returns its error
}

// appendInts appends each value with a comma before it.
func appendInts(b []byte, values ...int64) []byte {
	for _, value := range values {
		b = strconv.AppendInt(append(b, ','), value, 10)
	}
	return b
}

// micros converts ms to us. It rounds up, so that a positive timeout or retry delay never becomes 0.
func micros(ms float64) int64 { return int64(math.Ceil(ms * microsPerMilli)) }
