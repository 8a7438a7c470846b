package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"willowdeck/internal/testkit/tallyhistory"
)

const (
	tallyCount       = 4
	callerCount      = 10
	callInterval     = 100 * time.Millisecond // of each caller
	answerTimeout    = time.Second            // after which a caller calls another core
	maxAttempts      = 5
	readShare        = 0.3  // of the calls
	continueShare    = 0.5  // of the adds wait for 100 Continue, which shows that the request has been read
	impatientShare   = 0.05 // of the attempts are given up early, as where the response is lost
	maxImpatience    = 20 * time.Millisecond
	crossShare       = 0.05 // of the adds are sent to two cores at once, regardless of what is cut
	maxAmount        = 9
	lossSlack        = 400 * time.Millisecond // between the last byte of a request and a lost response
	maxResponseBytes = 1 << 20
)

// caller is an application: it stays at one place and calls the nearest core first.
type caller struct {
	cluster *cluster
	number  int
	place   int
	random  *rand.Rand
	client  *http.Client
	calls   int
}

func newCaller(c *cluster, number int, seed int64) *caller {
	transport := &http.Transport{ExpectContinueTimeout: answerTimeout, MaxIdleConnsPerHost: 4}
	c.t.Cleanup(transport.CloseIdleConnections)
	return &caller{
		cluster: c, number: number, place: number % len(zones),
		random: rand.New(rand.NewSource(seed*callerCount + int64(number))), client: &http.Client{Transport: transport},
	}
}

// run calls until stop is closed, and closes its connections then.
func (a *caller) run(stop <-chan struct{}) {
	defer a.client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(a.random.Int63n(int64(2 * callInterval)))):
		}
		tally := fmt.Sprintf("t%d", a.random.Intn(tallyCount))
		if a.random.Float64() < readShare {
			a.read(tally)
		} else {
			a.add(tally)
		}
	}
}

// machines returns the present machines, nearest first.
func (a *caller) machines() []*machine {
	machines := a.cluster.members()
	a.random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	slices.SortStableFunc(machines, func(m, n *machine) int { return a.distance(m) - a.distance(n) })
	return machines[:min(maxAttempts, len(machines))]
}

// distance is 0 to the own place, 1 within the region, and 2 beyond.
func (a *caller) distance(m *machine) int {
	switch {
	case m.place == a.place:
		return 0
	case regions[m.place] == regions[a.place]:
		return 1
	default:
		return 2
	}
}

// reaches reports whether the network lets the caller call a machine.
func (a *caller) reaches(m *machine) bool {
	own := a.cluster.at(a.place)
	return own == m || !a.cluster.network.isCut(own.number, m.number) && !a.cluster.network.isCut(m.number, own.number)
}

// add adds an amount under a new id, at one core after another until one acknowledges it.
func (a *caller) add(tally string) {
	a.calls++
	event := tallyhistory.Event{
		Kind: tallyhistory.Add, Tally: tally, ID: fmt.Sprintf("%d-%d", a.number, a.calls),
		Amount: 1 + uint64(a.random.Intn(maxAmount)),
	}
	machines := a.machines()
	cross := make(chan struct{})
	if a.random.Float64() < crossShare {
		m := machines[a.random.Intn(len(machines))]
		go func() {
			defer close(cross)
			a.attemptAdd(m, event, false, answerTimeout)
		}()
	} else {
		close(cross)
	}
	defer func() { <-cross }()
	for _, m := range machines {
		if !a.reaches(m) {
			time.Sleep(answerTimeout)
			continue
		}
		wait, limit := a.random.Float64() < continueShare, answerTimeout
		if a.random.Float64() < impatientShare {
			limit = time.Duration(1 + a.random.Int63n(int64(maxImpatience)))
		}
		if a.attemptAdd(m, event, wait, limit) == tallyhistory.Acknowledged {
			return
		}
	}
}

// attemptAdd sends an add to one core and records the attempt.
func (a *caller) attemptAdd(m *machine, event tallyhistory.Event, waitForContinue bool,
	limit time.Duration) tallyhistory.Outcome {
	body := fmt.Sprintf(`{"instance_id":%q,"lease_owner":%d}`, event.ID, event.Amount)
	header := http.Header{"Content-Type": {"application/json"}}
	if waitForContinue {
		header.Set("Expect", "100-continue")
	}
	a.attempt(m, &event, http.MethodPost, "/Tallies.Update/"+event.Tally, header, body, limit)
	a.cluster.recorder.add(event)
	return event.Outcome
}

// read reads a tally at one core after another until one answers.
func (a *caller) read(tally string) {
	for _, m := range a.machines() {
		if !a.reaches(m) {
			time.Sleep(answerTimeout)
			continue
		}
		event := tallyhistory.Event{Kind: tallyhistory.Read, Tally: tally}
		a.attemptRead(m, &event)
		a.cluster.recorder.add(event)
		if event.Outcome == tallyhistory.Acknowledged {
			return
		}
	}
}

// attemptRead reads event.Tally at one core, and completes the event.
func (a *caller) attemptRead(m *machine, event *tallyhistory.Event) {
	answer := a.attempt(m, event, http.MethodGet, "/Tallies.Get/"+event.Tally, nil, "", answerTimeout)
	if event.Outcome != tallyhistory.Acknowledged {
		return
	}
	var response struct{ Total *uint64 }
	if err := json.Unmarshal(answer, &response); err != nil || response.Total == nil {
		a.cluster.t.Errorf("%s answers a read with %q", m.name, answer)
		event.Outcome = tallyhistory.Unknown
		return
	}
	event.Total = *response.Total
}

// attempt sends a request to one core, completes the event and returns the response's body.
func (a *caller) attempt(m *machine, event *tallyhistory.Event, method, path string, header http.Header, body string,
	limit time.Duration) []byte {
	life := m.life()
	event.Core = m.name
	event.Started = a.cluster.recorder.now()
	status, answer := a.cluster.exchange(a.client, m, method, path, header, body, limit)
	event.Ended = a.cluster.recorder.now()
	if life == m.life() {
		event.Life = life
	}
	switch status {
	case http.StatusOK:
		event.Outcome = tallyhistory.Acknowledged
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		event.Outcome = tallyhistory.Refused
	case 0, http.StatusGatewayTimeout:
		event.Outcome = tallyhistory.Unknown
	default:
		a.cluster.t.Errorf("%s answers %s %s with %d %q", m.name, method, path, status, answer)
	}
	return answer
}

// exchange sends a request to a core and returns the status of the response, or 0 without one, and its body. It
// reports a request that a core has read and neither answered nor been killed over.
func (c *cluster) exchange(client *http.Client, m *machine, method, path string, header http.Header, body string,
	limit time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	var isRead atomic.Bool
	var written atomic.Int64 // Unix time in nanoseconds
	trace := &httptrace.ClientTrace{
		Got100Continue: func() { isRead.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				written.Store(time.Now().UnixNano())
			}
		},
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method,
		"http://"+m.controlAddress()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.t.Error(err)
		return 0, nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		if answer, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes)); err == nil {
			return response.StatusCode, answer
		}
	}
	sent := time.Unix(0, written.Load())
	if ctx.Err() == nil && isRead.Load() && written.Load() > 0 && time.Since(sent) > lossSlack && !m.killedSince(began) {
		c.t.Errorf("%s has read %s %s and closed the connection %v later without a response: %v", m.name, method, path,
			time.Since(sent), err)
	}
	return 0, nil
}
