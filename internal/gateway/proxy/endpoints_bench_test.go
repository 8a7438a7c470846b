package proxy

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

const zoneSize = 7900 // workers of one zone

func listOf(n int) endpoints.List {
	l := endpoints.List{Whole: true}
	for i := range n {
		l.Workers = append(
			l.Workers,
			endpoints.Worker{Name: fmt.Sprint("worker-", i), Zone: fmt.Sprint("z", i/zoneSize),
				Cell: i / 38, Kind: fmt.Sprint("k", i%5), Rating: 1, Active: true,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 80)},
		)
	}
	return l
}

// held gives how long a call holds the desk's lock at the longest, in ms, as one who asks for it all the time
// finds it, and the processor time of the call.
func (d *Dispatcher) lockTimeDuring(call func()) (longest, took float64) {
	done, over := make(chan struct{}), make(chan float64)
	go func() {
		most := time.Duration(0)
		for {
			select {
			case <-done:
				over <- float64(most) / float64(time.Millisecond)
				return
			default:
			}
			began := time.Now()
			d.mu.Lock()
			d.mu.Unlock() //lint:ignore SA2001 the wait for the lock is what is measured
			most = max(most, time.Since(began))
		}
	}()
	time.Sleep(time.Millisecond)
	runtime.LockOSThread()
	began := threadCPUTime()
	call()
	took = float64(threadCPUTime()-began) / float64(time.Millisecond)
	runtime.UnlockOSThread()
	close(done)
	return <-over, took
}

// threadTime is the processor time of this thread.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// BenchmarkDeskHold gives the longest wait for the desk's lock while it takes a list: the first one, the same
// told again, one worker's change, and a zone's workers that drain and come back, cold. Least, median and
// worst of the rounds, and the median of the call's processor time, which other work on the machine hardly
// changes: a list is taken in pieces, each of which holds the lock for its part of that.
func BenchmarkLockTime(b *testing.B) {
	for _, n := range []int{200, 2000, 6000, 20000, 60000, 110000} {
		for _, what := range []string{"first", "again", "one", "drain", "back"} {
			if what == "drain" || what == "back" {
				if n < 2*zoneSize {
					continue
				}
			}
			b.Run(fmt.Sprintf("%s/%d", what, n), func(b *testing.B) {
				l := listOf(n)
				c := policy.Charter{Gatekeepers: 7900, LargestUnits: 8, MaxSubmissions: 3, MayTell: true,
					PeerInPerS: 60, ReportsPerTell: 20, ColdFrom: 0.2, WarmUp: 20000, Whole: 1,
					Products: []policy.Product{{SLA: 500, Value: 1}}, Plans: []policy.Plan{{Rate: 1000, Burst: 2000}}}
				make := func() *Dispatcher {
					return NewDispatcher(c, 1, 2, func(int, []byte) {}, func(int) {})
				}
				d := make()
				defer func() { d.Stop() }()
				var holds, calls []float64
				d.ApplyEndpoints(l)
				for i := range b.N {
					change := endpoints.List{Workers: slices.Clone(l.Workers[:min(zoneSize, n)])}
					for k := range change.Workers {
						change.Workers[k].Active = false
					}
					var hold, took float64
					switch what {
					case "first":
						d.Stop()
						d = make()
						hold, took = d.lockTimeDuring(func() { d.ApplyEndpoints(l) })
					case "again":
						hold, took = d.lockTimeDuring(func() { d.ApplyEndpoints(l) })
					case "one":
						at := i % min(zoneSize, n)
						change.Workers = change.Workers[at : at+1]
						hold, took = d.lockTimeDuring(func() { d.ApplyEndpoints(change) })
					case "drain", "back":
						back := endpoints.List{Workers: slices.Clone(l.Workers[:zoneSize])}
						for k := range back.Workers {
							back.Workers[k].Since = d.Now()
						}
						hold, took = d.lockTimeDuring(func() { d.ApplyEndpoints(change) })
						h, c := d.lockTimeDuring(func() { d.ApplyEndpoints(back) })
						if what == "back" {
							hold, took = h, c
						}
					}
					holds, calls = append(holds, hold), append(calls, took)
				}
				slices.Sort(holds)
				slices.Sort(calls)
				b.ReportMetric(holds[0], "least-hold-ms")
				b.ReportMetric(holds[len(holds)/2], "hold-ms")
				b.ReportMetric(holds[len(holds)-1], "worst-hold-ms")
				b.ReportMetric(calls[len(calls)/2], "call-cpu-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
