package workload

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
)

var testGroups = []Group{{Plan: 0, Customers: 5, Rate: 20, ProductWeights: []float64{3, 1}, MaxUnits: 1},
	{Plan: 1, Customers: 1, Rate: 100, ProductWeights: []float64{1}, MaxUnits: 4}}

func TestGenerate(t *testing.T) {
	ratePerSecond := func(shapes []Shape, group int, from, to float64) (n float64) {
		for _, a := range Generate(testGroups, shapes, 100000, 7) {
			if a.Plan == group && a.AtMillis >= from && a.AtMillis < to {
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
		want     float64 // transactions a second
	}{
		{"no change", Shape{"steady", 0, 1, 1, -1, 0}, 0, 0, 100000, 100},
		{"steady", Shape{"steady", 50000, 100000, 2, -1, 0}, 1, 50000, 100000, 200},
		{"before the shape", Shape{"steady", 50000, 100000, 2, -1, 0}, 1, 0, 50000, 100},
		{"surge at its peak", Shape{"surge", 0, 100000, 3, -1, 0}, 0, 45000, 55000, 300},
		{"surge on average", Shape{"surge", 0, 100000, 3, -1, 0}, 0, 0, 100000, 100 * (1 + 4/math.Pi)},
		{"greedy", Shape{"greedy", 0, 100000, 11, 0, 1}, 0, 0, 100000, 300},
		{"shape of another group", Shape{"greedy", 0, 100000, 11, 0, 1}, 1, 0, 100000, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ratePerSecond([]Shape{c.shape}, c.group, c.from, c.to)
			if math.Abs(got-c.want) > 4*math.Sqrt(c.want/(c.to-c.from)*1000) {
				t.Errorf("%v per second, want %v", got, c.want)
			}
		})
	}
	if a, b := fmt.Sprint(Generate(testGroups, nil, 5000, 7)), fmt.Sprint(Generate(testGroups, nil, 5000,
		7)); a != b {
		t.Error("two runs of one seed differ")
	}
	for _, a := range Generate(testGroups, []Shape{{"shift", 0, 1e9, 1, 0, 2}}, 5000, 7) {
		if a.Customer < 2 && a.SetOffset != 0 || a.Units < 1 || a.Units > 4 {
			t.Fatalf("arrival %+v", a)
		}
	}
	changed := append(testGroups[:1:1], testGroups[1])
	changed[1].Rate = 1
	arrivalsOfFirstGroup := func(g []Group) (s string) {
		for _, a := range Generate(g, nil, 5000, 7) {
			if a.Plan == 0 {
				s += fmt.Sprint(a)
			}
		}
		return s
	}
	if arrivalsOfFirstGroup(testGroups) != arrivalsOfFirstGroup(changed) {
		t.Error("a change of one customer changes the arrivals of the others")
	}
}

func TestShapeValidate(t *testing.T) {
	cases := []struct {
		shape   Shape
		message string
	}{
		{Shape{"steady", 0, 1, 1, -1, 0}, ""}, {Shape{"square", 0, 1, 1, -1, 0}, "kind"},
		{Shape{"surge", 5, 5, 1, -1, 0}, "to_s"}, {Shape{"surge", 0, 5, 0, -1, 0}, "factor"},
		{Shape{"surge", 0, 5, math.NaN(), -1, 0}, "factor"}, {Shape{"surge", 0, 5, 1, 2, 0}, "group"},
		{Shape{"greedy", 0, 5, 1, 0, -1}, "customers"},
	}
	for _, c := range cases {
		err := c.shape.Validate(testGroups)
		if c.message == "" && err != nil || c.message != "" && (err == nil || !strings.HasPrefix(err.Error(),
			c.message)) {
			t.Errorf("%+v: %v", c.shape, err)
		}
	}
}

func TestTraceRoundTripAndErrors(t *testing.T) {
	names := NameIndex{map[string]int{"basic": 0, "big": 1}, map[string]int{"check": 0, "sale": 1}}
	arrivals := Generate(testGroups, nil, 2000, 3)
	var b bytes.Buffer
	if err := WriteTrace(&b, arrivals, []string{"basic", "big"}, []string{"check", "sale"}); err != nil {
		t.Fatal(err)
	}
	got, err := ReadTrace(bytes.NewReader(b.Bytes()), names)
	if err != nil || len(got) != len(arrivals) || math.Abs(got[9].AtMillis-arrivals[9].AtMillis) > 0.001 ||
		got[9].Units != arrivals[9].Units {
		t.Fatalf("read %d of %d, %v", len(got), len(arrivals), err)
	}
	const header = "at_ms,customer,plan,product,units\n"
	cases := []struct{ name, text, message string }{
		{"empty", "", "line 1"},
		{"wrong columns", "at,customer,plan,product,units\n", "line 1: column 1"},
		{"truncated", header + "1,2,basic,check,1\n2,3,ba", "line 3"},
		{"out of order", header + "5,2,basic,check,1\n4,2,basic,check,1\n", "line 3: at_ms"},
		{"not a number", header + "now,2,basic,check,1\n", "line 2: at_ms"},
		{"infinite", header + "1,2,basic,check,Inf\n", "line 2: units"},
		{"NaN", header + "NaN,2,basic,check,1\n", "line 2: at_ms"},
		{"unknown plan", header + "1,2,gold,check,1\n", "line 2: plan"},
		{"unknown product", header + "1,2,basic,buy,1\n", "line 2: product"},
		{"negative customer", header + "1,-2,basic,check,1\n", "line 2: customer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadTrace(strings.NewReader(c.text), names); err == nil || !strings.HasPrefix(err.Error(),
				c.message) {
				t.Errorf("got %v, want %q", err, c.message)
			}
		})
	}
}
