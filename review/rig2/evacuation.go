package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	evacuateBound = 5 * time.Second // bounds.evacuate_ms
	cutLength     = 4 * time.Second // the site's core_cut lasts up to 5.5 s
)

// playEvacuation ends a zone's evacuation and starts it again, while the operator's first call to one core is
// held up on its way by a cut and arrives when that heals. The operator got no answer within a second and has
// called another core, as the page says.
func playEvacuation(r *rig) (bool, error) {
	if err := r.start("lulea-east", "kiruna-south"); err != nil {
		return false, err
	}
	arrivals := make(chan arrival, 1000)
	for i, zone := range []string{"lulea-east", "lulea-east", "kiruna-south", "kiruna-south"} {
		if _, err := r.startWorker(i, zone, 6, 30*time.Millisecond, arrivals); err != nil {
			return false, err
		}
	}
	o := newOperator(r)
	cut, err := r.newCut(o.addresses[0])
	if err != nil {
		return false, err
	}
	o.addresses[0] = cut.address
	if _, err := o.replace(0, newConfiguration("non_idempotent", 1)); err != nil {
		return false, err
	}
	if err := r.awaitServed(); err != nil {
		return false, err
	}
	wait := recordArrivals(arrivals)
	load := r.startTraffic(40)
	steps := []struct {
		verb  string
		core  int
		pause time.Duration
	}{{"Start", 0, 6 * time.Second}, {"Stop", 0, time.Second}, {"Start", 1, 12 * time.Second}}
	var acknowledged time.Time
	for i, step := range steps {
		if i == 1 && r.trouble {
			r.record("the link between the operator and core 1 is cut for %v", cutLength)
			cut.hold(cutLength)
		}
		if acknowledged, err = o.evacuate(step.core, step.verb, "lulea-east"); err != nil {
			return false, err
		}
		time.Sleep(step.pause)
	}
	r.record("evacuated by /status of the cores, after the last Start: %s", o.evacuated())
	r.record("requests of clients: %s", statuses(load.end()))
	close(arrivals)
	return r.judgeEvacuation(wait(), acknowledged), nil
}

// judgeEvacuation counts requests that reached a worker of the zone later than the bound after the last
// acknowledgement.
func (r *rig) judgeEvacuation(arrivals []arrival, acknowledged time.Time) bool {
	late, before, first := 0, 0, ""
	for _, a := range arrivals {
		after := a.at.Sub(acknowledged)
		if a.worker.zone != "lulea-east" || after <= 0 {
			continue
		}
		if after <= evacuateBound {
			before++
			continue
		}
		if late++; first == "" {
			first = fmt.Sprintf("the first, %s, %.3f s after it", a.id, after.Seconds())
		}
	}
	r.record("requests at workers of the evacuated zone after the last acknowledgement of Start: "+
		"%d up to %v after it, %d later; %s", before, evacuateBound, late, first)
	return late > 0
}

// cut is a link to a core that can be cut for a while: what is sent meanwhile arrives afterwards.
type cut struct {
	rig     *rig
	address string

	mu    sync.Mutex
	until time.Time
}

func (r *rig) newCut(core string) (*cut, error) {
	listener, err := net.Listen("tcp4", r.subnet+".90:0")
	if err != nil {
		return nil, err
	}
	c := &cut{rig: r, address: listener.Addr().String()}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp4", core)
			if err != nil {
				near.Close()
				continue
			}
			go c.pass(near, far)
			go c.pass(far, near)
		}
	}()
	return c, nil
}

func (c *cut) hold(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(duration)
}

// await returns once the link is not cut.
func (c *cut) await() {
	c.mu.Lock()
	wait := time.Until(c.until)
	c.mu.Unlock()
	time.Sleep(max(wait, 0))
}

// pass passes on what one end sends, and its close.
func (c *cut) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			to.Close()
			return
		}
	}
}
