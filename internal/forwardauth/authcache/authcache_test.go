package authcache

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"testing"
)

var sale = Attributes{Customer: 7, Product: 1, Units: 1, SetSize: 3, First: 2}

// A request id is pending, granted, used and expired in turn, and requests are answered accordingly.
func TestClearanceTable(t *testing.T) {
	table := NewClearanceTable[int](100, 500, 3)
	other := sale
	other.Customer++
	step := func(what string, got, want Status) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	redeem := func(mark string, f Attributes, now float64) Status {
		found, _ := table.Redeem(mark, f, true, now)
		return found
	}
	step("new", table.Begin("a", sale, 0), StatusUnknown)
	step("while it is decided on", table.Begin("a", sale, 0), StatusPending)
	step("it comes meanwhile", redeem("a", sale, 0), StatusPending)
	if until := table.Grant("a", 42, 0); until != 100 {
		t.Errorf("known until %v", until)
	}
	step("again", table.Begin("a", sale, 50), StatusGranted)
	step("by another", table.Begin("a", other, 50), StatusMismatch)
	step("it comes as another", redeem("a", other, 50), StatusMismatch)
	if found, reservation := table.Redeem("a", sale, true, 99); found != StatusGranted || reservation != 42 {
		t.Errorf("it comes: %v, %v", found, reservation)
	}
	step("it comes twice", redeem("a", sale, 100), StatusUsed)
	step("it is asked for again", table.Begin("a", sale, 598), StatusUsed)
	table.Cancel("a")
	step("what is used is not dropped", redeem("a", sale, 598), StatusUsed)
	step("its time is over", table.Begin("a", sale, 599), StatusUnknown)
	table.Cancel("a")
	step("turned down", redeem("a", sale, 599), StatusUnknown)

	table.Begin("i", sale, 600)
	table.Grant("i", 1, 600)
	table.Redeem("i", sale, false, 600)
	step("one that may come again", redeem("i", sale, 600), StatusUnknown)
	table.Begin("l", sale, 600)
	table.Grant("l", 1, 600)
	step("lapsed", redeem("l", sale, 700), StatusUnknown)
	for i := range 3 {
		step("filling", table.Begin(fmt.Sprint("f", i), sale, 700), StatusUnknown)
	}
	step("full", table.Begin("more", sale, 700), StatusFull)
	step("known ones are not new", table.Begin("f1", sale, 700), StatusPending)
	table.Grant("f1", 5, 700)
	table.Redeem("f1", sale, true, 710)
	table.Grant("f2", 6, 720)
	all, reservations := table.HandOver(730)
	if len(all) != 2 || len(reservations) != 1 || reservations[0] != 6 {
		t.Fatalf("left %+v, %v", all, reservations)
	}
	step("another process has it", table.Begin("x", sale, 730), StatusHandedOver)
	step("a txn then", redeem("f2", sale, 730), StatusHandedOver)
	if until := table.Grant("f0", 5, 730); until > 730 { // it was pending at the handover
		t.Errorf("granted after that, until %v", until)
	}
	successor := NewClearanceTable[int](100, 500, 2)
	for i, c := range append(all, all[0], Clearance{RequestID: "over", ExpiresMillis: 700},
		Clearance{RequestID: "one more", ExpiresMillis: 9e9}) {
		if successor.Adopt(c, 9, 730) != (i < 2) {
			t.Errorf("entry %d of the heir's", i)
		}
	}
	found, reservation := successor.Redeem("f2", sale, true, 740)
	if found != StatusGranted || reservation != 9 {
		t.Errorf("at the heir: %v, %v", found, reservation)
	}
	found, _ = successor.Redeem("f1", sale, true, 740)
	step("used before the heir", found, StatusUsed)
}

// In random sequences of calls no request id is redeemed twice within its retention, the table stays within
// its bound, and all entries expire in the end.
func TestClearanceTableAtRandom(t *testing.T) {
	const most = 40
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		table, now := NewClearanceTable[int](100, 400, most), 0.0
		redeemed := map[string]float64{}
		for range 5000 {
			now += rng.ExpFloat64() * 5
			requestID := fmt.Sprint(rng.Intn(80))
			switch rng.Intn(4) {
			case 0, 1:
				if table.Begin(requestID, sale, now) == StatusUnknown {
					if rng.Intn(3) == 0 {
						table.Cancel(requestID)
					} else {
						table.Grant(requestID, 1, now)
					}
				}
			case 2:
				if found, _ := table.Redeem(requestID, sale, true, now); found == StatusGranted {
					if last, there := redeemed[requestID]; there && now < last+400 {
						t.Fatalf("seed %d: %s comes at %v and %v", seed, requestID, last, now)
					}
					redeemed[requestID] = now
				}
			case 3:
				all, _ := table.HandOver(now)
				if table = NewClearanceTable[int](100, 400, most); rng.Intn(2) == 0 {
					for _, c := range all {
						table.Adopt(c, 1, now)
					}
				} else {
					clear(redeemed) // it was killed: nothing was handed over
				}
			}
			if n := table.Len(now); n > most || len(table.grantedExpiries)+len(table.usedExpiries) > 2*most {
				t.Fatalf("seed %d: %d known, %d and %d due", seed, n, len(table.grantedExpiries), len(table.usedExpiries))
			}
		}
		if n := table.Len(now + 1000); n != 0 {
			t.Errorf("seed %d: %d are never let go", seed, n)
		}
	}
}

// Each request id has one home instance in its set, the same for all, and the ids are spread evenly.
func TestHomeInstance(t *testing.T) {
	var perInstance [5]int
	sale := sale
	sale.First = 3
	for i := range 3000 {
		requestID := fmt.Sprint(i)
		home := HomeInstance(requestID, sale, 5)
		if home != HomeInstance(requestID, sale, 5) {
			t.Fatal("not the same")
		}
		perInstance[home]++
	}
	if perInstance[1]+perInstance[2] != 0 || perInstance[0] < 800 || perInstance[3] < 800 ||
		perInstance[4] < 800 { // 3 in a row from 3, round 5
		t.Errorf("homes %v", perInstance)
	}
}

func serviceConfig() ServiceConfig {
	return ServiceConfig{
		TimeoutMillis:           150,
		TimeoutShare:            0.4,
		AllowTTLMillis:          5000,
		DenyTTLMillis:           1000,
		MaxDecisions:            8,
		BreakerThreshold:        3,
		BreakerBackoffMillis:    100,
		BreakerMaxBackoffMillis: 400,
	}
}

// A decision is valid from when it was asked for, for the TTL of its kind: a revoked credential passes for
// so long at most.
func TestDecisionsExpire(t *testing.T) {
	s := NewService(serviceConfig(), 1)
	a, b := CredentialDigest{1}, CredentialDigest{2}
	s.RecordDecision(a, Decision{Allowed: true}, 1000, 1140, true)
	s.RecordDecision(b, Decision{Status: 403}, 1000, 1140, true)
	s.RecordDecision(
		CredentialDigest{3},
		Decision{Allowed: true},
		1000,
		9000,
		true,
	) // it took longer than its TTL
	s.RecordDecision(CredentialDigest{4}, Decision{Allowed: true}, 1000, 1140, false)
	for _, c := range []struct {
		d      CredentialDigest
		now    float64
		known  bool
		passes bool
	}{{a, 5999, true, true}, {a, 6000, false, false}, {b, 1999, true, false}, {b, 2000, false, false},
		{CredentialDigest{3}, 9000, false, false}, {CredentialDigest{4}, 1140, false, false}} {
		got, ok := s.Lookup(c.d, c.now)
		if ok != c.known || ok && got.Allowed != c.passes {
			t.Errorf("%v at %v: %+v, %v", c.d[0], c.now, got, ok)
		}
	}
	if p := s.TimeoutMillis(1000); p != 150 {
		t.Errorf("patience of much time %v", p)
	}
	if p := s.TimeoutMillis(100); p != 40 {
		t.Errorf("patience of little time %v", p)
	}
}

// A service that fails is not asked for a backoff, longer each time and jittered, then probed once.
func TestServiceBreaker(t *testing.T) {
	s := NewService(serviceConfig(), 1)
	fail := func(now float64) {
		t.Helper()
		if ok, _ := s.Allow(now); !ok {
			t.Fatalf("not asked at %v", now)
		}
		s.RecordFailure(now)
	}
	fail(0)
	fail(1)
	s.RecordDecision(CredentialDigest{1}, Decision{Allowed: true}, 2, 2, true) // a success resets the count
	now := 3.0
	for range 3 {
		fail(now)
	}
	for i, backoffMillis := range []float64{100, 200, 400, 400} {
		if !s.BreakerOpen(now) {
			t.Errorf("not left alone after failure %d", i)
		}
		s.RecordFailure(now + 1) // of a query under way before
		ok, wait := s.Allow(now)
		if ok || wait < backoffMillis*0.75 || wait > backoffMillis*1.25 {
			t.Errorf("pause %d: %v, %v", i, ok, wait)
		}
		if ok, _ := s.Allow(now + wait - 0.01); ok {
			t.Errorf("pause %d: asked in it", i)
		}
		now += wait
		if ok, _ := s.Allow(now); !ok {
			t.Fatalf("pause %d: not asked after it", i)
		}
		if ok, _ := s.Allow(now); ok {
			t.Errorf("pause %d: asked twice at once after it", i)
		}
		if i == 1 { // no connection was free
			s.CancelAttempt()
			if ok, _ := s.Allow(now); !ok {
				t.Error("not asked after one that was not")
			}
		}
		s.RecordFailure(now)
	}
	_, wait := s.Allow(now)
	now += wait
	s.Allow(now)
	s.RecordDecision(CredentialDigest{1}, Decision{Status: 401}, now, now, true) // a denial is a success
	if ok, _ := s.Allow(now); !ok || s.BreakerOpen(now) {
		t.Error("left alone after an answer")
	}
	x, y := NewService(serviceConfig(), 2), NewService(serviceConfig(), 3)
	for range 3 {
		x.RecordFailure(0)
		y.RecordFailure(0)
	}
	_, a := x.Allow(1)
	_, b := y.Allow(1)
	if a == b {
		t.Error("two come back in step")
	}
}

// A hundred thousand decisions are cached in bounded memory while a million are recorded.
func TestDecisionsBounded(t *testing.T) {
	config := serviceConfig()
	config.MaxDecisions = 100000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewService(config, 1)
	for i := range uint64(1000000) {
		var d CredentialDigest
		binary.LittleEndian.PutUint64(d[:], i)
		s.RecordDecision(d, Decision{Allowed: true, HasCustomer: true, Customer: i}, 0, 0, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	if s.Len() != config.MaxDecisions || mb > 40 || math.IsNaN(mb) {
		t.Errorf("%d kept in %.1f MB", s.Len(), mb)
	}
	t.Logf("%d kept in %.1f MB", s.Len(), mb)
}

func BenchmarkClearanceTable(b *testing.B) {
	table := NewClearanceTable[int](100, 400, 65536)
	requestIDs := make([]string, 4096)
	for i := range requestIDs {
		requestIDs[i] = fmt.Sprintf("%016x", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now, m := float64(i), requestIDs[i%len(requestIDs)]
		if table.Begin(m, sale, now) == StatusUnknown {
			table.Grant(m, 1, now)
			table.Redeem(m, sale, true, now)
		}
	}
}
