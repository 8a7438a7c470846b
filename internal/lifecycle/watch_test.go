package lifecycle

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"willowdeck/internal/config"
	"willowdeck/internal/ops"
	"willowdeck/internal/standin"
	"willowdeck/internal/warm"
	"willowdeck/internal/wire"
	"willowdeck/logic"
)

// modes are the ways in which lists come, at the most gatekeepers.
var modes = []struct {
	name  string
	swaps []string
}{
	{"pushed", []string{`"balancers":1`, `"balancers":300`}},
	{"asked for", []string{`"balancers":1`, `"balancers":300,"registry_mode":"on_request"`}},
}

// listing starts discovery with the workers of a configuration, its lists laid out over several lines.
func listing(t *testing.T, c *config.Gatekeeper) *standin.Discovery {
	t.Helper()
	var entries []standin.Entry
	for _, w := range c.Known.Workers {
		entries = append(entries, standin.Entry{Name: w.Name, Address: w.Address.String(), Zone: w.Zone,
			Status: "active", Weight: 1})
	}
	d, err := standin.NewDiscovery(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Indent("  ")
	return d
}

// drains has discovery tell that the first worker drains.
func drains(list *standin.Discovery) {
	e := list.List().Endpoints[0]
	e.Status = "leaving"
	list.Tell(e)
}

// within waits until so many workers are active, and fails if that takes longer than so many ms.
func within(t *testing.T, d *deployment, workers int, most float64) {
	t.Helper()
	began := time.Now()
	for d.gk.desk.Tally().Workers != workers {
		if time.Since(began) > wire.Millis(most) {
			t.Fatalf("%d workers are active %v ms later, not %d", d.gk.desk.Tally().Workers, most, workers)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("told after %v", time.Since(began))
}

// The open watch falls silent once, and a worker drains: that is told before it counts as told. Guards
// against a silence that is noticed late, on top of it a pause that grows with the fleet, and lists over
// several lines.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			var list *standin.Discovery
			d := deployWith(t, func(c *config.Gatekeeper) {
				list = listing(t, c)
				c.Discovery, c.Known.Version = list.At, 0
				c.Known.Workers = c.Known.Workers[:1]
				for rand.New(rand.NewSource(c.Seed)).Float64() > 0.02 { // that the first watch is open soon
					c.Seed++
				}
			}, 2, 5000, m.swaps...)
			within(t, d, 2, logic.WatchDue)
			list.Silence()
			drains(list)
			within(t, d, 1, logic.WatchDue)
		})
	}
}

// A move to a discovery that is silent or turns calls away at first is told within WatchMoved once that
// speaks. Guards against the first pause of a large fleet, and against those that grow with each failure.
func TestMoveInTime(t *testing.T) {
	t.Parallel()
	for _, m := range modes {
		for _, c := range []struct {
			name   string
			away   func(*standin.Discovery, bool)
			before time.Duration
		}{
			{"well", (*standin.Discovery).Busy, 0},
			{"busy at first", (*standin.Discovery).Busy, time.Second},
			{"silent at first", (*standin.Discovery).Down, time.Second},
		} {
			t.Run(m.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 2, 5000, m.swaps...)
				next := d.conf
				list := listing(t, &next)
				for range 7 {
					list.Tell() // its versions go on from those known
				}
				drains(list)
				next.Discovery = list.At
				c.away(list, c.before > 0)
				d.gk.Reload(next, nil)
				time.Sleep(c.before)
				c.away(list, false)
				within(t, d, 1, logic.WatchMoved)
			})
		}
	}
}

// Where lists are pushed, no txn goes by the known list alone while the agent has a newer one at hand; and no
// start waits for one that is silent for longer than FirstWord. Where they are asked for none waits.
func TestStartHearsAgent(t *testing.T) {
	const slack = 200.0 // ms; a start itself, on a loaded machine
	for _, c := range []struct {
		name   string
		swaps  []string
		answer func(w http.ResponseWriter, d *deployment)
		drains bool
		most   float64
	}{
		{"at hand", nil, func(w http.ResponseWriter, d *deployment) {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintf(w, "{\n\"index\":8,\"endpoints\":[\n%s]}\n", d.entry(0, "leaving", 0))
		}, true, slack},
		{"silent", nil, func(http.ResponseWriter, *deployment) {}, false, logic.FirstWord + slack},
		{"turns it away", nil, func(w http.ResponseWriter, _ *deployment) { w.WriteHeader(503) }, false, slack},
		{"asked for", modes[1].swaps, func(http.ResponseWriter, *deployment) {}, false, slack},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, 2, 5000, c.swaps...)
			conf := d.conf
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.answer(w, d)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(agent.Close)
			conf.Discovery = agent.Listener.Addr().String()
			var took time.Duration
			for range 5 {
				began := time.Now()
				gk, err := Start(conf, zerolog.Nop())
				if err != nil {
					t.Fatal(err)
				}
				took, d.at = time.Since(began), gk.At
				t.Cleanup(func() {
					gk.unwind()
					<-gk.ended
					gk.Stop()
				})
				if !c.drains || took < wire.Millis(logic.FirstWord) {
					break // else the machine stood still, and the agent could not be heard in time
				}
			}
			for i := range 30 {
				if s, _ := d.ask(check("/check", fmt.Sprint(i))); s != "HTTP/1.1 200 OK" {
					t.Fatalf("answered %q", s)
				}
			}
			if n := d.workers[0].count(); took > wire.Millis(c.most) || (n == 0) != c.drains {
				t.Errorf("the start took %v; %d txns went to a worker that drains by its agent: %v", took, n, c.drains)
			}
		})
	}
}

// What a newcomer asks of others may come over several lines, and counts only if it is whole: cut anywhere,
// by a peer that says so little or one that breaks off, it is an error.
func TestListOfPeer(t *testing.T) {
	const whole = "{\n \"index\": 8,\n\n \"snapshot\": true,\n \"endpoints\": [\n" +
		"  {\"name\":\"a\",\"status\":\"leaving\"}\n ]\n}"
	cut, claims := 0, 0
	at := scripted(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(ops.VersionHeader, fmt.Sprint(warm.Version))
		w.Header().Set(ops.AgeHeader, "5")
		w.Header().Set("Content-Length", fmt.Sprint(claims))
		io.WriteString(w, whole[:cut])
	})
	for cut = 0; cut <= len(whole); cut++ {
		for _, claims = range []int{cut, len(whole)} {
			l, _, err := listOf(&fasthttp.Client{MaxIdemponentCallAttempts: 1}, at)
			if ok := cut == len(whole); ok != (err == nil) || ok != (l.Version == 8 && len(l.Workers) == 1) {
				t.Fatalf("cut after %q: %+v, %v", whole[:cut], l, err)
			}
		}
	}
}
