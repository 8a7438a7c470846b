package simadapter

import (
	"fmt"
	"strconv"
)

// message reads the values of one line by position. err is the first error, of a value that is missing or
// has the wrong type.
type message struct {
	values []any
	err    error
}

// fail sets err for value i, unless it is set already.
func (m *message) fail(i int, field string) {
	if m.err == nil {
		m.err = fmt.Errorf("value %d (%s) is missing or of the wrong type", i, field)
	}
}

// at returns value i, nil if there is none.
func (m *message) at(i int) any {
	if i < len(m.values) {
		return m.values[i]
	}
	return nil
}

func (m *message) text(i int, field string) string {
	s, ok := m.at(i).(string)
	if !ok {
		m.fail(i, field)
	}
	return s
}

func (m *message) float(i int, field string) float64 {
	f, ok := m.at(i).(float64)
	if !ok {
		m.fail(i, field)
	}
	return f
}

// optionalFloat returns a number that may be absent; 0 if it is.
func (m *message) optionalFloat(i int) float64 {
	f, _ := m.at(i).(float64)
	return f
}

// optionalText returns a text that may be absent; empty if it is.
func (m *message) optionalText(i int) string {
	s, _ := m.at(i).(string)
	return s
}

func (m *message) int(i int, field string) int {
	f := m.float(i, field)
	if f != float64(int(f)) {
		m.fail(i, field)
	}
	return int(f)
}

func (m *message) bool(i int, field string) bool {
	b, ok := m.at(i).(bool)
	if !ok {
		m.fail(i, field)
	}
	return b
}

func (m *message) list(i int, field string) []any {
	l, ok := m.at(i).([]any)
	if !ok {
		m.fail(i, field)
	}
	return l
}

func (m *message) hex(i int, field string) uint64 {
	u, err := strconv.ParseUint(m.text(i, field), 16, 64)
	if err != nil {
		m.fail(i, field)
	}
	return u
}
