package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/watch"
	"willowdeck/internal/serving/wirepb"
)

// fleet is the hollow agents and workers.
type fleet struct {
	system *system
	size   Size
	list   []*hollowAgent
	client *http.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	bytes  atomic.Int64 // that agents have received
	beats  atomic.Int64 // heartbeats that were acknowledged
	failed atomic.Int64 // heartbeats that were not
	drain  atomic.Int64 // 1 + the worker that drains
}

// hollowAgent follows a core's feed, and keeps of it what a measurement needs.
type hollowAgent struct {
	name       string
	core, zone int
	generation atomic.Uint64
	workers    atomic.Int64
	drained    atomic.Bool
}

func newFleet(s *system, size Size) *fleet {
	f := &fleet{system: s, size: size}
	f.client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: size.Workers, MaxConnsPerHost: size.Workers/cores + 1, DisableCompression: true,
	}}
	for i := range size.Edges - realEdges {
		f.list = append(f.list, &hollowAgent{name: fmt.Sprintf("hollow-%d", i), core: i % cores, zone: i})
	}
	return f
}

func (f *fleet) agents() int { return len(f.list) }

func (f *fleet) start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	for _, agent := range f.list {
		f.done.Go(func() { f.follow(ctx, agent) })
	}
	for i := range f.size.Workers {
		f.done.Go(func() { f.beat(ctx, i) })
	}
}

func (f *fleet) stop() {
	if f.cancel != nil {
		f.cancel()
	}
	f.done.Wait()
	f.client.CloseIdleConnections()
}

// countedConn counts what is received.
type countedConn struct {
	net.Conn
	count *atomic.Int64
}

// Read counts the bytes that it returns.
func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.count.Add(int64(n))
	return n, err
}

// follow keeps an agent's link until the context ends.
func (f *fleet) follow(ctx context.Context, agent *hollowAgent) {
	for order := uint64(time.Now().UnixMilli()); ctx.Err() == nil; order += 10 {
		connection, err := net.DialTimeout("tcp4", f.system.internalAddress(agent.core), time.Second)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { connection.Close() })
		f.followLink(agent, framing.NewConn(countedConn{connection, &f.bytes}, 5*time.Second), order)
		stop()
		connection.Close()
	}
}

func (f *fleet) followLink(agent *hollowAgent, link *framing.Conn, order uint64) {
	request := &wirepb.WatchRequest{Subscriber: agent.name, EdgeVersion: order, Edge: &wirepb.Edge{
		Name: agent.name, Address: "127.0.3.1:80", Zone: zoneName(agent.zone), Region: regionName(agent.zone),
		Ready: true,
	}}
	first := &wirepb.Envelope{Body: &wirepb.Envelope_Subscribe{Subscribe: request}}
	if link.WriteMessage(first) != nil {
		return
	}
	known := map[string]bool{}
	nextBeat := time.Now()
	for {
		update := &wirepb.WatchUpdate{}
		if link.ReadMessage(update, 10*time.Second) != nil {
			return
		}
		agent.take(update, known)
		if time.Now().After(nextBeat) {
			nextBeat = time.Now().Add(watch.HeartbeatInterval)
			if link.WriteMessage(request) != nil {
				return
			}
		}
	}
}

func (a *hollowAgent) take(update *wirepb.WatchUpdate, known map[string]bool) {
	if update.Configuration != nil {
		a.generation.Store(update.Configuration.Generation)
	}
	for _, record := range update.Records {
		worker := record.GetWorker()
		if worker == nil {
			continue
		}
		known[record.Key] = !record.Deleted
		if worker.Draining && record.Key == catalog.WorkerKey(workerName(0)) {
			a.drained.Store(true)
		}
	}
	a.workers.Store(int64(len(known)))
}

func workerName(i int) string { return fmt.Sprintf("i-%06d", i) }

// beat sends a worker's heartbeats. Their phases are spread over the interval.
func (f *fleet) beat(ctx context.Context, worker int) {
	phase := time.Duration(worker) * heartbeat / time.Duration(f.size.Workers)
	if pause(ctx, phase) != nil {
		return
	}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		if f.beatOnce(ctx, worker, sequence) {
			f.beats.Add(1)
		} else if ctx.Err() == nil {
			f.failed.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *fleet) beatOnce(ctx context.Context, worker, sequence int) bool {
	state := "ready"
	if f.drain.Load() == int64(worker)+1 {
		state = "draining"
	}
	body := fmt.Sprintf(`{"backend":"s%d","address":"127.4.%d.%d:8080","zone":%q,"generation":"v1",`+
		`"state":%q,"cold_remaining_ms":0,"phase":"dual","models":[{"name":"m","generation":1}],`+
		`"sequence":%d}`, worker%models, worker/250, worker%250, zoneName(worker), state, sequence)
	address := "http://" + f.system.controlAddress(worker%cores) + "/Instances.Heartbeat/" + workerName(worker)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// awaitReady waits until every hollow agent knows the configuration and all workers.
func (f *fleet) awaitReady(ctx context.Context, generation int) error {
	return f.await(ctx, readyWithin, func(agent *hollowAgent) bool {
		return agent.generation.Load() >= uint64(generation) && agent.workers.Load() >= int64(f.size.Workers)
	})
}

func (f *fleet) awaitGeneration(ctx context.Context, generation uint64) error {
	return f.await(ctx, inForceMost, func(agent *hollowAgent) bool {
		return agent.generation.Load() >= generation
	})
}

// drainOne lets a worker drain, and returns how long after its acknowledgement the last agent knows.
func (f *fleet) drainOne(ctx context.Context) (float64, error) {
	f.drain.Store(1)
	if !f.beatOnce(ctx, 0, 1_000_000) {
		return 0, errors.New("a draining heartbeat was not acknowledged")
	}
	begun := time.Now()
	err := f.await(ctx, inForceMost, func(agent *hollowAgent) bool { return agent.drained.Load() })
	return max(time.Since(begun).Seconds(), 0.0001), err
}

func (f *fleet) await(ctx context.Context, within time.Duration, reached func(*hollowAgent) bool) error {
	deadline := time.Now().Add(within)
	for {
		missing := 0
		for _, agent := range f.list {
			if !reached(agent) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d of %d agents are not there after %v", missing, len(f.list), within)
		}
		if err := pause(ctx, 2*time.Millisecond); err != nil {
			return err
		}
	}
}
