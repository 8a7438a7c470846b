package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/loadbalancer"
	"willowdeck/internal/serving/workerlink"
)

const (
	nearDial        = 250 * time.Millisecond // to workers of the own region
	farDial         = 450 * time.Millisecond
	mostDials       = 4                      // workers that are tried in vain before a request is refused
	mostMisdirected = 3                      // workers whose address another one has
	leastTime       = 5 * time.Millisecond   // left, under which nothing is sent any more
	noPathWait      = 700 * time.Millisecond // told to clients when there is no path to a worker
	fullWait        = 250 * time.Millisecond // told to clients when a worker was full
	wholeAnswerMost = 256 << 10              // bytes of an answer that is read whole before it is passed on
)

// job is one client's request on its way.
type job struct {
	edge     *Edge
	writer   http.ResponseWriter
	client   *http.Request
	route    *configuration.Route
	service  string
	id       string
	request  *workerlink.Request
	prompt   *loadbalancer.Request
	deadline time.Time
	excluded map[string]bool // workers that are not tried again

	attempts    int  // workers that the request was sent to and that may have run it
	dials       int  // workers that could not be reached
	misdirected int  // workers whose address another one has
	unknown     bool // an attempt may have run

	lastEvent  uint64 // id of the last event passed on, of resumable streams
	eventKnown bool
	committed  bool // the head has gone to the client
}

// attempt is one sending of a request to a worker.
type attempt struct {
	worker     worker
	connection *workerlink.Conn
	response   *http.Response
	release    func() bool // ends the care for a client that goes
	firstSeen  bool        // the first token has come
}

// run sends the request until there is an answer that stands.
func (j *job) run() {
	j.edge.decide.countRequest(j.edge.now(), j.service)
	for {
		a, err := j.send()
		if err != nil {
			j.giveUp(err)
			return
		}
		if j.finish(a) {
			return
		}
	}
}

// refusalError ends a request with an answer of our own, since no further worker may get it.
type refusalError struct {
	status int
	wait   time.Duration
}

// Error says what the client is told.
func (e *refusalError) Error() string { return "refused with " + strconv.Itoa(e.status) }

// errClientGone ends a request whose client has left.
var errClientGone = errors.New("the client has left")

// giveUp answers at once. A request that may have run gets no promise that it has not.
func (j *job) giveUp(err error) {
	var refusal *refusalError
	switch {
	case errors.Is(err, errClientGone) || j.committed:
		panic(http.ErrAbortHandler)
	case errors.As(err, &refusal) && !j.unknown:
		refuse(j.writer, refusal.status, refusal.wait)
	case time.Now().After(j.deadline.Add(-leastTime)):
		refuse(j.writer, http.StatusGatewayTimeout, 0)
	default:
		refuse(j.writer, http.StatusBadGateway, 0)
	}
}

// send finds a worker that takes the request and returns once the head of its answer is there. Attempts
// that did not run, or may be repeated, are followed by others as far as the route and the budget allow.
func (j *job) send() (*attempt, error) {
	for {
		if err := j.mayGoOn(); err != nil {
			return nil, err
		}
		t := j.edge.table.Load()
		now := j.edge.now()
		chosen, sent, wait, ok := j.edge.decide.choose(now, t, j.service, j.route, j.prompt, j.excluded)
		if !ok {
			return nil, &refusalError{http.StatusServiceUnavailable, wait}
		}
		if chosen.PathSuspected && !j.route.IsIdempotent() {
			j.end(&attempt{worker: chosen}, false)
			return nil, &refusalError{http.StatusServiceUnavailable, noPathWait}
		}
		if j.attempts+j.misdirected > 0 && !j.edge.decide.allowRepeat(now, j.service, t.budgetEdges()) {
			j.end(&attempt{worker: chosen}, false)
			return nil, &refusalError{http.StatusServiceUnavailable, fullWait}
		}
		j.edge.tellPrompt(t, chosen, sent)
		a, err := j.try(chosen)
		if err == nil {
			return a, nil
		}
		j.excluded[chosen.Instance] = true
		if errors.Is(err, workerlink.ErrNotSent) {
			j.dials++
			continue
		}
		if !errors.Is(err, errNotExecuted) {
			j.unknown = true
			if !j.route.IsIdempotent() {
				return nil, err
			}
		}
	}
}

// mayGoOn reports whether a further worker may be tried.
func (j *job) mayGoOn() error {
	if j.client.Context().Err() != nil {
		return errClientGone
	}
	if time.Until(j.deadline) < leastTime {
		return &refusalError{http.StatusServiceUnavailable, fullWait}
	}
	if j.dials >= mostDials || j.misdirected >= mostMisdirected || j.attempts >= max(j.route.MaxAttempts, 1) {
		return &refusalError{http.StatusServiceUnavailable, fullWait}
	}
	return nil
}

// errNotExecuted says that a worker has promised not to have run the request.
var errNotExecuted = errors.New("the worker did not run the request: try another one")

// try sends the request to one worker and reads the head of its answer.
func (j *job) try(chosen worker) (*attempt, error) {
	a := &attempt{worker: chosen}
	dialTimeout := farDial
	if chosen.Region == j.edge.settings.Region {
		dialTimeout = nearDial
	}
	dialTimeout = min(dialTimeout, time.Until(j.deadline))
	ctx := j.client.Context()
	connection, err := j.edge.pool.Get(ctx, chosen.Address, dialTimeout)
	if err != nil {
		j.edge.liveness.suspect(a, dialTimeout)
		j.fail(a, ctx)
		return nil, err
	}
	a.connection = connection
	a.release = context.AfterFunc(ctx, func() { connection.Close() })
	j.watch(a, dialTimeout)
	j.attempts++
	sentAt := j.edge.now()
	if err := connection.Send(j.prepare(chosen), j.deadline); err != nil {
		j.fail(a, ctx)
		return nil, err
	}
	a.response, err = connection.Receive(j.request.Method, j.id)
	if err != nil {
		j.fail(a, ctx)
		return nil, err
	}
	j.edge.liveness.hear(chosen.Instance)
	j.edge.paths.proven(sentAt, chosen)
	j.noteLoad(a)
	if workerlink.NotExecuted(a.response) {
		return nil, j.passBy(a)
	}
	return a, nil
}

// watch has the worker's life watched for as long as it has the request.
func (j *job) watch(a *attempt, probeTimeout time.Duration) {
	var interrupt func()
	if j.route.IsIdempotent() {
		interrupt = func() { a.connection.Close() }
	}
	j.edge.liveness.begin(a, probeTimeout, interrupt)
}

// prepare adds what the worker is told by us.
func (j *job) prepare(chosen worker) *workerlink.Request {
	request := *j.request
	request.Header = j.request.Header.Clone()
	left := max(time.Until(j.deadline).Milliseconds(), 1)
	request.Header[workerlink.HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	request.Header[workerlink.HeaderTarget] = []string{chosen.Instance}
	if chosen.Engine {
		request.Header[workerlink.HeaderPriority] = []string{priority(j.route)}
	}
	if j.eventKnown {
		request.Header[workerlink.HeaderLastEvent] = []string{strconv.FormatUint(j.lastEvent, 10)}
	}
	return &request
}

// passBy ends an attempt that the worker has refused without running it.
func (j *job) passBy(a *attempt) error {
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		j.edge.decide.gone(j.edge.now(), a.worker.Instance) // another worker has its address
		j.attempts--                                        // it was never sent to a worker that the route means
		j.misdirected++
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, wholeAnswerMost))
	j.end(a, err == nil)
	return errNotExecuted
}

// noteLoad takes up what the worker says of its load: requests running, waiting, and its places.
func (j *job) noteLoad(a *attempt) {
	fields := strings.Split(a.response.Header.Get(workerlink.HeaderLoad), ",")
	if len(fields) < 2 {
		return
	}
	running, runningErr := strconv.ParseFloat(strings.TrimSpace(fields[0]), 64)
	waiting, waitingErr := strconv.ParseFloat(strings.TrimSpace(fields[1]), 64)
	if runningErr == nil && waitingErr == nil {
		j.edge.decide.load(j.edge.now(), a.worker.Instance, running, waiting)
	}
}

// fail ends an attempt whose worker could not be reached, or broke off. A client that left is no fault of
// the worker.
func (j *job) fail(a *attempt, ctx context.Context) {
	if ctx.Err() == nil && time.Now().Before(j.deadline) {
		j.edge.decide.failed(j.edge.now(), a.worker.Instance)
		j.edge.pool.CloseIdle(a.worker.Address)
		if a.connection != nil {
			j.edge.tellBroken(a.worker)
		}
	}
	j.end(a, false)
}

// end gives the worker's place back, and the connection where it is whole.
func (j *job) end(a *attempt, whole bool) {
	if !a.firstSeen {
		j.edge.decide.firstTokenGone(j.prompt, a.worker.Instance)
		a.firstSeen = true
	}
	j.edge.decide.done(a.worker.Instance)
	j.edge.liveness.end(a)
	if a.connection == nil {
		return
	}
	if !a.release() {
		whole = false // the client has left: the connection is being closed
	}
	if !whole || a.response == nil {
		a.connection.Close()
		return
	}
	life, keep := workerlink.KeepAlive(a.response)
	if !keep {
		a.connection.Close()
		return
	}
	j.edge.pool.Put(a.worker.Address, a.connection, life)
}

func (j *job) sawFirstToken(a *attempt) {
	if !a.firstSeen {
		a.firstSeen = true
		j.edge.decide.firstToken(j.edge.now(), j.prompt, a.worker.Instance)
	}
}
