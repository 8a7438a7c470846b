package inflight

import (
	"fmt"
	"net/netip"
	"testing"

	"willowdeck/internal/gateway/transport/endpoints"
)

// What was meant for a worker ends when it drains, goes, moves, also to another zone or cell, or starts anew,
// and by nothing else. Guards against a repeat that reaches a worker which has left its txn's group.
func TestLife(t *testing.T) {
	at := func(name, addr string, active bool, since float64) endpoints.Worker {
		return endpoints.Worker{Name: name, Address: netip.MustParseAddrPort(addr), Active: active, Since: since}
	}
	zone, cell := at("a", "127.0.0.1:1", true, 0), at("a", "127.0.0.1:1", true, 0)
	zone.Zone, cell.Cell = "z", 3
	a, b := at("a", "127.0.0.1:1", true, 0), at("b", "127.0.0.1:2", true, 5)
	cases := []struct {
		name  string
		next  endpoints.List
		holds bool
		ended []int
	}{
		{"the same again", endpoints.List{Whole: true, Workers: []endpoints.Worker{a, b}}, true, nil},
		{"news of another", endpoints.List{Workers: []endpoints.Worker{at("b", "127.0.0.1:2", false, 5)}}, true,
			[]int{1}},
		{"drains", endpoints.List{Workers: []endpoints.Worker{at("a", "127.0.0.1:1", false, 0)}}, false, []int{0}},
		{
			"started anew",
			endpoints.List{Workers: []endpoints.Worker{at("a", "127.0.0.1:1", true, 9)}},
			false,
			[]int{0},
		},
		{"moved", endpoints.List{Workers: []endpoints.Worker{at("a", "127.0.0.1:3", true, 0)}}, false, []int{0}},
		{"in another zone", endpoints.List{Workers: []endpoints.Worker{zone}}, false, []int{0}},
		{"in another cell", endpoints.List{Workers: []endpoints.Worker{cell}}, false, []int{0}},
		{"not on the whole list", endpoints.List{Whole: true, Workers: []endpoints.Worker{b}}, false, []int{0}},
		{"nobody left", endpoints.List{Whole: true}, false, []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w Workers
			if w.Active() {
				t.Error("active without a list")
			}
			w.Update(endpoints.List{Whole: true, Workers: []endpoints.Worker{a, b}}, never)
			l := w.Life(0)
			if !l.Holds() || !w.Active() {
				t.Fatal("a listed worker does not hold")
			}
			_, ended := w.Update(c.next, never)
			if l.Holds() != c.holds || fmt.Sprint(ended) != fmt.Sprint(c.ended) {
				t.Errorf("holds %v, want %v; ended %v, want %v", l.Holds(), c.holds, ended, c.ended)
			}
		})
	}
}

func never(int) bool { return false }

// Workers that come and go under ever new names keep to a few places, and get nothing of those before them.
func TestPlacesOfWorkersGone(t *testing.T) {
	var w Workers
	held := -1 // a place that something still refers to
	vacant := func(i int) bool { return i != held }
	at := netip.MustParseAddrPort("127.0.0.1:1")
	was := Life{}
	for i := range 100 {
		next := endpoints.Worker{Name: fmt.Sprint("w", i), Address: at, Active: true}
		list, _ := w.Update(endpoints.List{Workers: []endpoints.Worker{next}}, vacant)
		if p := list[0].Worker; p > 2 || p == held || !list[0].New {
			t.Fatalf("worker %d is at place %d, new %v", i, p, list[0].New)
		}
		if i > 0 && was.Holds() {
			t.Fatalf("what was meant for worker %d holds", i-1)
		}
		was, held = w.Life(list[0].Worker), list[0].Worker
		next.Active, next.Gone = false, true
		w.Update(endpoints.List{Workers: []endpoints.Worker{next}}, vacant)
	}
	if len(w.places) > 2 || len(w.all) > 2 {
		t.Errorf("%d names and %d places are kept", len(w.places), len(w.all))
	}
}

// Nothing is sent for what was withdrawn or barred before it was on a link.
func TestSubmission(t *testing.T) {
	cases := []struct {
		name   string
		before func(*Submission)
		begins bool
	}{
		{"plain", func(*Submission) {}, true},
		{"withdrawn", (*Submission).Withdraw, false},
		{"barred", (*Submission).Bar, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Submission{}
			c.before(s)
			if s.Begin(nil) != c.begins || s.End() == c.begins {
				t.Errorf("begins %v, want %v", !c.begins, c.begins)
			}
		})
	}
}

func TestClaims(t *testing.T) {
	defer func() {
		if stopped := recover() != nil; stopped != asserted {
			t.Errorf("stopped %v, asserted %v", stopped, asserted)
		}
	}()
	Must(true, Named)
	Must(false, ShortSpeech)
	if n := Broken(); n["short_speech"] != 1 || len(n) != 1 {
		t.Errorf("counted %v", n)
	}
	broken[ShortSpeech].Store(0)
}

// Terms hold until their time, for as long as they are extended, and never again once they were ended.
func TestTerms(t *testing.T) {
	const hour = 3600e9
	none := (*Terms)(nil)
	past, ahead := NewTerms(1, "leased", Boot()), NewTerms(1, "leased", Boot()+hour)
	if !none.Holds() || past.Holds() || !ahead.Holds() {
		t.Error("they do not hold as told")
	}
	if past.Extend(Boot() + hour); !past.Holds() {
		t.Error("not extended")
	}
	past.End()
	if past.Extend(Boot() + hour); past.Holds() {
		t.Error("they come back")
	}
}
