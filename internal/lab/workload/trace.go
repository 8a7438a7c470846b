package workload

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// head is the first line of a trace: the columns, in this order.
var head = []string{"at_ms", "customer", "plan", "product", "units"}

// Names are the numbers of plans and products by their names.
type Names struct{ Plans, Products map[string]int }

// ReadTrace reads a recorded trace: CSV with the columns at_ms, customer, plan, product, units. Lines
// must be in the order of time; one that is not, or is cut, ends the reading with its number.
func ReadTrace(r io.Reader, n Names) ([]Arrival, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = len(head)
	in.ReuseRecord = true
	var all []Arrival
	for line := 1; ; line++ {
		rec, err := in.Read()
		if errors.Is(err, io.EOF) {
			if line == 1 {
				return nil, errors.New("line 1: the trace is empty")
			}
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, errors.Unwrap(err))
		}
		if line == 1 {
			for i, name := range head {
				if rec[i] != name {
					return nil, fmt.Errorf("line 1: column %d is %q, not %q", i+1, rec[i], name)
				}
			}
			continue
		}
		a, err := arrival(rec, n)
		if err == nil && len(all) > 0 && a.At < all[len(all)-1].At {
			err = fmt.Errorf("at_ms: %v is before the line above", a.At)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		a.Set = len(all)
		all = append(all, a)
	}
}

func arrival(rec []string, n Names) (a Arrival, err error) {
	number := func(i int, least, most float64) float64 {
		v, e := strconv.ParseFloat(rec[i], 64)
		if (e != nil || !(v >= least) || v > most) && err == nil {
			err = fmt.Errorf("%s: %q is no number from %v to %v", head[i], rec[i], least, most)
		}
		return v
	}
	a.At = number(0, 0, 1e10)
	a.Customer = int(number(1, 0, math.MaxInt32))
	a.Units = number(4, 1e-9, 1e9)
	var ok bool
	if a.Plan, ok = n.Plans[rec[2]]; !ok && err == nil {
		err = fmt.Errorf("plan: %q is unknown", rec[2])
	}
	if a.Product, ok = n.Products[rec[3]]; !ok && err == nil {
		err = fmt.Errorf("product: %q is unknown", rec[3])
	}
	return a, err
}

// WriteTrace writes arrivals as a trace.
func WriteTrace(w io.Writer, all []Arrival, plans, products []string) error {
	out := csv.NewWriter(w)
	if err := out.Write(head); err != nil {
		return err
	}
	for _, a := range all {
		err := out.Write([]string{strconv.FormatFloat(a.At, 'f', 3, 64), strconv.Itoa(a.Customer), plans[a.Plan],
			products[a.Product], strconv.FormatFloat(a.Units, 'g', -1, 64)})
		if err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
