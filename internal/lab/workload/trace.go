package workload

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// traceColumns is the header of a trace: the columns in this order.
var traceColumns = []string{"at_ms", "customer", "plan", "product", "units"}

// NameIndex maps the names of plans and products to their indices.
type NameIndex struct{ Plans, Products map[string]int }

// ReadTrace reads a recorded trace: CSV with the columns at_ms, customer, plan, product, units, in the order
// of time. The first malformed line ends the reading with an error that names its number.
func ReadTrace(r io.Reader, names NameIndex) ([]Arrival, error) {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = len(traceColumns)
	reader.ReuseRecord = true
	var arrivals []Arrival
	for line := 1; ; line++ {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			if line == 1 {
				return nil, errors.New("line 1: the trace is empty")
			}
			return arrivals, nil
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, errors.Unwrap(err))
		}
		if line == 1 {
			for i, name := range traceColumns {
				if record[i] != name {
					return nil, fmt.Errorf("line 1: column %d is %q, not %q", i+1, record[i], name)
				}
			}
			continue
		}
		arrival, err := parseArrival(record, names)
		if err == nil && len(arrivals) > 0 && arrival.AtMillis < arrivals[len(arrivals)-1].AtMillis {
			err = fmt.Errorf("at_ms: %v is before the previous line", arrival.AtMillis)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		arrival.SetOffset = len(arrivals)
		arrivals = append(arrivals, arrival)
	}
}

// parseArrival parses a record of a trace. The error names the first invalid column.
func parseArrival(record []string, names NameIndex) (arrival Arrival, err error) {
	number := func(column int, minimum, maximum float64) float64 {
		value, parseErr := strconv.ParseFloat(record[column], 64)
		if (parseErr != nil || !(value >= minimum) || value > maximum) && err == nil {
			err = fmt.Errorf("%s: %q is not a number from %v to %v", traceColumns[column], record[column], minimum,
				maximum)
		}
		return value
	}
	arrival.AtMillis = number(0, 0, 1e10)
	arrival.Customer = int(number(1, 0, math.MaxInt32))
	arrival.Units = number(4, 1e-9, 1e9)
	var ok bool
	if arrival.Plan, ok = names.Plans[record[2]]; !ok && err == nil {
		err = fmt.Errorf("plan: %q is unknown", record[2])
	}
	if arrival.Product, ok = names.Products[record[3]]; !ok && err == nil {
		err = fmt.Errorf("product: %q is unknown", record[3])
	}
	return arrival, err
}

// WriteTrace writes arrivals as a trace that ReadTrace reads.
func WriteTrace(w io.Writer, arrivals []Arrival, plans, products []string) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(traceColumns); err != nil {
		return err
	}
	for _, arrival := range arrivals {
		err := writer.Write([]string{strconv.FormatFloat(arrival.AtMillis, 'f', 3, 64),
			strconv.Itoa(arrival.Customer), plans[arrival.Plan],
			products[arrival.Product], strconv.FormatFloat(arrival.Units, 'g', -1, 64)})
		if err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}
