package workload

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
)

var groups = []Group{{Plan: 0, Customers: 5, Rate: 20, Products: []float64{3, 1}, Units: 1},
	{Plan: 1, Customers: 1, Rate: 100, Products: []float64{1}, Units: 4}}

func TestPlan(t *testing.T) {
	count := func(shapes []Shape, group int, from, to float64) (n float64) {
		for _, a := range Plan(groups, shapes, 100000, 7) {
			if a.Plan == group && a.At >= from && a.At < to {
				n++
			}
		}
		return n / (to - from) * 1000
	}
	cases := []struct {
		name     string
		shape    Shape
		group    int
		from, to float64
		want     float64 // a second
	}{
		{"plain", Shape{"steady", 0, 1, 1, -1, 0}, 0, 0, 100000, 100},
		{"steady", Shape{"steady", 50000, 100000, 2, -1, 0}, 1, 50000, 100000, 200},
		{"before it", Shape{"steady", 50000, 100000, 2, -1, 0}, 1, 0, 50000, 100},
		{"surge at its height", Shape{"surge", 0, 100000, 3, -1, 0}, 0, 45000, 55000, 300},
		{"surge in all", Shape{"surge", 0, 100000, 3, -1, 0}, 0, 0, 100000, 100 * (1 + 4/math.Pi)},
		{"greedy", Shape{"greedy", 0, 100000, 11, 0, 1}, 0, 0, 100000, 300},
		{"of another group", Shape{"greedy", 0, 100000, 11, 0, 1}, 1, 0, 100000, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := count([]Shape{c.shape}, c.group, c.from, c.to)
			if math.Abs(got-c.want) > 4*math.Sqrt(c.want/(c.to-c.from)*1000) {
				t.Errorf("%v a second, want %v", got, c.want)
			}
		})
	}
	if a, b := fmt.Sprint(Plan(groups, nil, 5000, 7)), fmt.Sprint(Plan(groups, nil, 5000, 7)); a != b {
		t.Error("two plans of one seed differ")
	}
	for _, a := range Plan(groups, []Shape{{"shift", 0, 1e9, 1, 0, 2}}, 5000, 7) {
		if a.Customer < 2 && a.Set != 0 || a.Units < 1 || a.Units > 4 {
			t.Fatalf("arrival %+v", a)
		}
	}
	more := append(groups[:1:1], groups[1])
	more[1].Rate = 1
	first := func(g []Group) (s string) {
		for _, a := range Plan(g, nil, 5000, 7) {
			if a.Plan == 0 {
				s += fmt.Sprint(a)
			}
		}
		return s
	}
	if first(groups) != first(more) {
		t.Error("a change at one customer moves the others")
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		shape Shape
		says  string
	}{
		{Shape{"steady", 0, 1, 1, -1, 0}, ""}, {Shape{"square", 0, 1, 1, -1, 0}, "kind"},
		{Shape{"surge", 5, 5, 1, -1, 0}, "to_s"}, {Shape{"surge", 0, 5, 0, -1, 0}, "factor"},
		{Shape{"surge", 0, 5, math.NaN(), -1, 0}, "factor"}, {Shape{"surge", 0, 5, 1, 2, 0}, "group"},
		{Shape{"greedy", 0, 5, 1, 0, -1}, "customers"},
	}
	for _, c := range cases {
		err := c.shape.Check(groups)
		if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.HasPrefix(err.Error(), c.says)) {
			t.Errorf("%+v: %v", c.shape, err)
		}
	}
}

func TestTrace(t *testing.T) {
	n := Names{map[string]int{"basic": 0, "big": 1}, map[string]int{"check": 0, "sale": 1}}
	all := Plan(groups, nil, 2000, 3)
	var b bytes.Buffer
	if err := WriteTrace(&b, all, []string{"basic", "big"}, []string{"check", "sale"}); err != nil {
		t.Fatal(err)
	}
	got, err := ReadTrace(bytes.NewReader(b.Bytes()), n)
	if err != nil || len(got) != len(all) || math.Abs(got[9].At-all[9].At) > 0.001 ||
		got[9].Units != all[9].Units {
		t.Fatalf("read %d of %d, %v", len(got), len(all), err)
	}
	const top = "at_ms,customer,plan,product,units\n"
	cases := []struct{ name, text, says string }{
		{"empty", "", "line 1"},
		{"other columns", "at,customer,plan,product,units\n", "line 1: column 1"},
		{"cut", top + "1,2,basic,check,1\n2,3,ba", "line 3"},
		{"out of order", top + "5,2,basic,check,1\n4,2,basic,check,1\n", "line 3: at_ms"},
		{"no number", top + "now,2,basic,check,1\n", "line 2: at_ms"},
		{"infinite", top + "1,2,basic,check,Inf\n", "line 2: units"},
		{"NaN", top + "NaN,2,basic,check,1\n", "line 2: at_ms"},
		{"no plan", top + "1,2,gold,check,1\n", "line 2: plan"},
		{"no product", top + "1,2,basic,buy,1\n", "line 2: product"},
		{"customer below nought", top + "1,-2,basic,check,1\n", "line 2: customer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadTrace(strings.NewReader(c.text), n); err == nil || !strings.HasPrefix(err.Error(),
				c.says) {
				t.Errorf("got %v, want %q", err, c.says)
			}
		})
	}
}
