package simadapter

import (
	"fmt"
	"strconv"
)

// message reads the values of one line by place. The first that is missing or of the wrong kind is kept as
// err.
type message struct {
	v   []any
	err error
}

func (m *message) fail(i int, what string) {
	if m.err == nil {
		m.err = fmt.Errorf("value %d (%s) is missing or of the wrong kind", i, what)
	}
}

func (m *message) at(i int) any {
	if i < len(m.v) {
		return m.v[i]
	}
	return nil
}

func (m *message) text(i int, what string) string {
	s, ok := m.at(i).(string)
	if !ok {
		m.fail(i, what)
	}
	return s
}

func (m *message) num(i int, what string) float64 {
	f, ok := m.at(i).(float64)
	if !ok {
		m.fail(i, what)
	}
	return f
}

// opt is a number that may be absent.
func (m *message) opt(i int) float64 {
	f, _ := m.at(i).(float64)
	return f
}

// word is a text that may be absent.
func (m *message) word(i int) string {
	s, _ := m.at(i).(string)
	return s
}

func (m *message) int(i int, what string) int {
	f := m.num(i, what)
	if f != float64(int(f)) {
		m.fail(i, what)
	}
	return int(f)
}

func (m *message) bool(i int, what string) bool {
	b, ok := m.at(i).(bool)
	if !ok {
		m.fail(i, what)
	}
	return b
}

func (m *message) list(i int, what string) []any {
	l, ok := m.at(i).([]any)
	if !ok {
		m.fail(i, what)
	}
	return l
}

func (m *message) hex(i int, what string) uint64 {
	u, err := strconv.ParseUint(m.text(i, what), 16, 64)
	if err != nil {
		m.fail(i, what)
	}
	return u
}
