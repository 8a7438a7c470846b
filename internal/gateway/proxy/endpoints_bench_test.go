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

// listOf gives a full list of n workers.
func listOf(n int) endpoints.List {
	l := endpoints.List{Snapshot: true}
	for i := range n {
		l.Workers = append(
			l.Workers,
			endpoints.Worker{Name: fmt.Sprint("worker-", i), Zone: fmt.Sprint("z", i/zoneSize),
				Cell: i / 38, Kind: fmt.Sprint("k", i%5), Weight: 1, Active: true,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 80)},
		)
	}
	return l
}

// lockTimeDuring gives the longest wait for the dispatcher's lock during a call, as seen by a goroutine
// that takes it all the time, and the processor time of the call.
func (d *Dispatcher) lockTimeDuring(call func()) (longestMillis, cpuMillis float64) {
	done, longestWait := make(chan struct{}), make(chan float64)
	go func() {
		most := time.Duration(0)
		for {
			select {
			case <-done:
				longestWait <- float64(most) / float64(time.Millisecond)
				return
			default:
			}
			began := time.Now()
			d.mu.Lock() // the wait for it is what is measured
			most = max(most, time.Since(began))
			d.mu.Unlock()
		}
	}()
	time.Sleep(time.Millisecond)
	runtime.LockOSThread()
	began := threadCPUTime()
	call()
	cpuMillis = float64(threadCPUTime()-began) / float64(time.Millisecond)
	runtime.UnlockOSThread()
	close(done)
	return <-longestWait, cpuMillis
}

// threadCPUTime is the processor time of this thread.
func threadCPUTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// BenchmarkLockTime gives the longest wait for the dispatcher's lock while it applies a list: the first
// one, the same again, one worker's change, and a zone's workers that drain and come back with empty
// caches. It gives the least, the median and the worst of the rounds, and the median of the call's
// processor time, which other work on the machine hardly changes: a list is applied in chunks, each of
// which holds the lock for its part of that.
func BenchmarkLockTime(b *testing.B) {
	for _, n := range []int{200, 2000, 6000, 20000, 60000, 110000} {
		for _, step := range []string{"first", "again", "one", "drain", "back"} {
			if step == "drain" || step == "back" {
				if n < 2*zoneSize {
					continue
				}
			}
			b.Run(fmt.Sprintf("%s/%d", step, n), func(b *testing.B) {
				list := listOf(n)
				c := policy.Settings{GatewayCount: 7900, MaxRequestUnits: 8, MaxAttempts: 3, AllowGossip: true,
					PeerMessagesPerSecond: 60, ReportsPerMessage: 20, WarmingCapacityFraction: 0.2, WarmUpMillis: 20000,
					TotalWeight: 1,
					Products:    []policy.Product{{LatencyTargetMillis: 500, Value: 1}},
					Plans:       []policy.Plan{{QuotaPerSecond: 1000, QuotaBurst: 2000}}}
				newDispatcher := func() *Dispatcher {
					return NewDispatcher(c, 1, 2, func(int, []byte) {}, func(int) {})
				}
				d := newDispatcher()
				defer func() { d.Stop() }()
				var lockTimes, cpuTimes []float64
				d.ApplyEndpoints(list)
				for i := range b.N {
					change := endpoints.List{Workers: slices.Clone(list.Workers[:min(zoneSize, n)])}
					for k := range change.Workers {
						change.Workers[k].Active = false
					}
					var lockMillis, cpuMillis float64
					switch step {
					case "first":
						d.Stop()
						d = newDispatcher()
						lockMillis, cpuMillis = d.lockTimeDuring(func() { d.ApplyEndpoints(list) })
					case "again":
						lockMillis, cpuMillis = d.lockTimeDuring(func() { d.ApplyEndpoints(list) })
					case "one":
						worker := i % min(zoneSize, n)
						change.Workers = change.Workers[worker : worker+1]
						lockMillis, cpuMillis = d.lockTimeDuring(func() { d.ApplyEndpoints(change) })
					case "drain", "back":
						back := endpoints.List{Workers: slices.Clone(list.Workers[:zoneSize])}
						for k := range back.Workers {
							back.Workers[k].StartedMillis = d.Now()
						}
						lockMillis, cpuMillis = d.lockTimeDuring(func() { d.ApplyEndpoints(change) })
						h, c := d.lockTimeDuring(func() { d.ApplyEndpoints(back) })
						if step == "back" {
							lockMillis, cpuMillis = h, c
						}
					}
					lockTimes, cpuTimes = append(lockTimes, lockMillis), append(cpuTimes, cpuMillis)
				}
				slices.Sort(lockTimes)
				slices.Sort(cpuTimes)
				b.ReportMetric(lockTimes[0], "least-hold-ms")
				b.ReportMetric(lockTimes[len(lockTimes)/2], "hold-ms")
				b.ReportMetric(lockTimes[len(lockTimes)-1], "worst-hold-ms")
				b.ReportMetric(cpuTimes[len(cpuTimes)/2], "call-cpu-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
