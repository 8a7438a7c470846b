package bootstrap

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/ruleset"
)

var sizes = []int{200, 2000, 6000, 20000, 60000, 110000}

func vast(n int) endpoints.List {
	l := endpoints.List{Snapshot: true}
	for i := range n {
		l.Workers = append(
			l.Workers,
			endpoints.Worker{Name: fmt.Sprint("worker-", i), Zone: fmt.Sprint("z", i/7900),
				Cell: i / 38, Kind: fmt.Sprint("k", i%5), Weight: 1, Active: true,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)},
		)
	}
	return l
}

// BenchmarkChange is one worker's change from discovery.
func BenchmarkChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := vast(n)
			k := NewBook(l)
			for i := 0; b.Loop(); i++ {
				k.Discovery(endpoints.List{Version: int64(i), Workers: l.Workers[i%n : i%n+1]}, 1)
			}
		})
	}
}

// BenchmarkWords is so many of the operators' words on workers, in force over all of them.
func BenchmarkWords(b *testing.B) {
	for _, words := range []int{0, 1, 32, 1024} {
		for _, n := range sizes {
			if words > n {
				continue
			}
			b.Run(fmt.Sprintf("words-%d/%d", words, n), func(b *testing.B) {
				k := NewBook(vast(n))
				var all []ruleset.WorkerOverride
				for i := range words {
					all = append(all, ruleset.WorkerOverride{Worker: fmt.Sprint("worker-", i), Weight: 2})
				}
				for b.Loop() {
					k.Words(all)
				}
			})
		}
	}
}

// BenchmarkMemory gives the bytes of the heap that a book keeps, beside the list's own texts.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := vast(n)
			for range b.N {
				before := heap()
				k := NewBook(l)
				kept := heap() - before
				runtime.KeepAlive(k)
				b.ReportMetric(kept/float64(n), "B/each")
			}
		})
	}
}
