package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/testkit/history"
)

const (
	waits = 800 * time.Millisecond // of every client
	// lateBy is for how much longer than it waits a client listens, so that a late answer is seen as such.
	lateBy = time.Second
	// lentPerS is what is asked for on credit in a burst: four times the rate of its plan.
	lentPerS = 4 * lentRate
	setOf    = 3 // gatekeepers of a customer's set; that with a ceiling has all
)

// Customers, by number.
const (
	cappedCustomer, lentCustomer = 100, 77
	basicCustomers               = 40
)

// clients ask at an open pace: what is due is sent, whatever became of what was before.
type clients struct {
	p      *party
	log    *history.Log
	client *fasthttp.Client
	out    sync.WaitGroup
	failed sync.Map // what became of those without an answer
}

func newClients(p *party) *clients {
	return &clients{p: p, log: p.record("clients", 1), client: &fasthttp.Client{MaxConnsPerHost: 4096,
		MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// run asks until ctx is over, so many txns a second of customers that have room and of one that asks for more
// than its ceiling; and besides of one on credit, a second in each four.
func (c *clients) run(ctx context.Context, perS float64, seed int64) {
	rng := rand.New(rand.NewSource(seed ^ 0x2545F491))
	n, usual, lent, last := 0, 0.0, 0.0, time.Now()
	began := last
	t := time.NewTicker(2 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.out.Wait()
			return
		case <-t.C:
		}
		now := time.Now()
		passed := now.Sub(last).Seconds()
		usual, last = usual+passed*perS, now
		if now.Sub(began)%(4*time.Second) < time.Second {
			lent += passed * lentPerS
		}
		for usual >= 1 || lent >= 1 {
			a := asked{product: productNames[rng.Intn(len(productNames))], plan: "basic",
				customer: 1 + rng.Intn(basicCustomers), spread: setOf}
			if lent >= 1 {
				lent--
				a.customer, a.plan = lentCustomer, "lent"
			} else if usual--; rng.Intn(2) == 0 && now.Sub(began)%(3*time.Second) < 2*time.Second {
				a.customer, a.plan, a.spread = cappedCustomer, "capped", len(c.p.entered)
			}
			a.first = a.customer * 7 % len(c.p.entered)
			a.to = (a.first + rng.Intn(a.spread)) % len(c.p.entered)
			c.p.mu.Lock()
			gone := c.p.absent[a.to]
			c.p.mu.Unlock()
			if gone {
				continue
			}
			n++
			a.n = n
			c.out.Add(1)
			go c.ask(a)
		}
	}
}

// asked is a txn that a client has.
type asked struct {
	n, customer, spread, first, to int
	product, plan                  string
}

// ask sends a txn, and notes what became of it. One whose call is not taken is left. One that was taken and
// gets no answer has none noted: it is for the checks to tell whether its gatekeeper was there.
func (c *clients) ask(a asked) {
	defer c.out.Done()
	id := fmt.Sprintf("%016x", a.n)
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	m := c.p.entered[a.to]
	at := ""
	for _, h := range c.p.hosts {
		if h.name == m.Host {
			at = fmt.Sprintf("%s:%d", h.ip, c.p.first+2+a.to)
		}
	}
	req.SetRequestURI("http://" + at + "/" + a.product)
	h := &req.Header
	h.SetConnectionClose() // one that fails has failed for this txn, and is none that an earlier one has left
	h.Set("X-Request-Id", id)
	h.Set("Plan", a.plan)
	h.Set("Cookie", fmt.Sprintf("key=%016x", a.customer))
	h.Set("Quota-Info", fmt.Sprintf("units=1,spread=%d,first=%d", a.spread, a.first))
	h.Set("X-Deadline", strconv.FormatInt(waits.Microseconds(), 10)+"u")
	if a.product != "check" {
		h.SetMethod(fasthttp.MethodPost)
		req.SetBody([]byte("two tickets"))
	}
	if a.product == "sale" {
		h.Set("Idempotency-Key", id+id)
	}
	c.log.Write(history.Event{Kind: history.Asks, Txn: id, Customer: uint64(a.customer), Plan: a.plan,
		Product: a.product, Units: 1, Peer: m.Name, Expiry: history.Now() + int64(waits)})
	err := c.client.DoTimeout(req, res, waits+lateBy)
	says := history.Voided
	switch code := res.StatusCode(); {
	case errors.Is(err, syscall.ECONNREFUSED):
		says = history.Left
	case err != nil:
		c.failed.Store(id, err)
		return
	case code == fasthttp.StatusOK:
		says = history.Succeeded
	case code == fasthttp.StatusTooManyRequests || code == fasthttp.StatusServiceUnavailable:
		says = history.Declined
	}
	c.log.Write(history.Event{Kind: history.Ends, Txn: id, Says: says})
}
