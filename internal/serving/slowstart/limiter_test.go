package slowstart

import (
	"math/rand"
	"testing"
	"time"

	"willowdeck/internal/serving/wirepb"
)

var limits = Limits{PerSecond: 10, Overshoot: 1.5, Slack: 5}

// cluster plays edges that report to each other by messages that are late, lost or cut.
type cluster struct {
	random  *rand.Rand
	now     time.Duration
	shares  []*Shares
	known   [][]*wirepb.Demand // by edge: the newest report of each other
	cut     []bool
	pressed []float64 // requests a second at each edge
	sent    []time.Duration
}

func newCluster(seed int64, edges int) *cluster {
	c := &cluster{random: rand.New(rand.NewSource(seed)), cut: make([]bool, edges)}
	c.pressed = make([]float64, edges)
	for i := range edges {
		c.shares = append(c.shares, New(string(rune('a'+i))))
		c.known = append(c.known, make([]*wirepb.Demand, edges))
	}
	return c
}

func (c *cluster) reports(edge int) []*wirepb.Demand {
	var list []*wirepb.Demand
	for _, demand := range c.known[edge] {
		if demand != nil {
			list = append(list, demand)
		}
	}
	return list
}

const tick = 2 * time.Millisecond

func (c *cluster) step(periodic bool) {
	c.now += tick
	for edge, share := range c.shares {
		if c.random.Float64() < c.pressed[edge]*tick.Seconds() {
			if _, ok := share.Admit(c.now, "w", limits, len(c.shares), c.reports(edge)); ok {
				c.sent = append(c.sent, c.now)
			}
		}
		if !periodic {
			continue
		}
		for _, report := range share.Reports(c.now, len(c.shares), c.reports(edge)) {
			for other := range c.shares {
				if other != edge && !c.cut[edge] && !c.cut[other] && c.random.Float64() > 0.1 {
					c.known[other][edge] = report
				}
			}
		}
	}
}

// worst returns the most requests in any second.
func (c *cluster) worst() int {
	worst, first := 0, 0
	for last := range c.sent {
		for c.sent[last]-c.sent[first] > time.Second {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// TestSumKeepsTheBound draws pressure, jumps, cuts and restarts: in no second do all edges together pass
// the bound.
func TestSumKeepsTheBound(t *testing.T) {
	bound := int(limits.PerSecond*limits.Overshoot + limits.Slack)
	for seed := range int64(120) {
		edges := []int{1, 2, 3, 7, 8, 20}[seed%6]
		c := newCluster(seed, edges)
		for i := range 10000 {
			if i%1000 == 0 {
				for edge := range c.pressed {
					c.pressed[edge] = c.random.Float64() * 60
					c.cut[edge] = c.random.Intn(6) == 0
				}
			}
			if c.random.Intn(4000) == 0 {
				restarted := c.random.Intn(edges)
				c.shares[restarted] = New(string(rune('a' + restarted)))
				c.known[restarted] = make([]*wirepb.Demand, edges)
			}
			c.step(i%500 == 0)
		}
		if worst := c.worst(); worst > bound {
			t.Fatalf("seed %d, %d edges: %d requests in a second, %d are allowed", seed, edges, worst, bound)
		}
	}
}

// TestDemandGetsTheRest lets one edge have all demand: it comes near the whole rate once all others have
// reported.
func TestDemandGetsTheRest(t *testing.T) {
	const edges = 4
	c := newCluster(1, edges)
	c.pressed[0] = 40
	for i := range 5000 {
		c.step(i%500 == 0)
	}
	begun, sent := c.now, len(c.sent)
	for i := range 5000 {
		c.step(i%500 == 0)
	}
	rate := float64(len(c.sent)-sent) / (c.now - begun).Seconds()
	want := limits.PerSecond * usedRate * (floorShare/edges + 1 - floorShare) // the others keep their floors
	if rate < 0.9*want || rate > 1.05*want {
		t.Errorf("one edge with all demand sends %.2f a second, %.2f are its share", rate, want)
	}
}

func TestQuietWorkersCauseNoMessages(t *testing.T) {
	share := New("a")
	for second := range 20 {
		now := time.Duration(second) * time.Second
		share.Admit(now, "w", limits, 2, nil) // one a second: under the slice of 2.4
		if reports := share.Reports(now, 2, nil); len(reports) > 0 {
			t.Fatalf("reports %v at %v", reports, now)
		}
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	share := New("a")
	wait, ok := share.Admit(0, "w", limits, 7, nil)
	if ok || wait <= 0 || wait > 3*time.Second {
		t.Fatalf("a bucket of a new edge begins empty: %v %v", wait, ok)
	}
	if _, ok := share.Admit(wait, "w", limits, 7, nil); !ok {
		t.Error("the wait that was told was too short")
	}
}
