// Package inflight is what a gatekeeper keeps in memory beside the module's own state: the txns in hand, the
// workers by index with their addresses, and the counts of what must hold.
package inflight

// Index gives names small numbers, in the order in which they are first seen. The zero Index is empty.
type Index struct {
	at    map[string]int
	names []string
}

// Of gives a name's number.
func (x *Index) Of(name string) int {
	i, ok := x.at[name]
	if !ok {
		if x.at == nil {
			x.at = map[string]int{}
		}
		i = len(x.names)
		x.at[name] = i
		x.names = append(x.names, name)
	}
	return i
}

// Name gives the name that has a number.
func (x *Index) Name(i int) string { return x.names[i] }
