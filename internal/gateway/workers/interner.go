package workers

// Interner assigns small integers to names, in the order in which they are first seen. The zero value is
// empty. It is not safe for concurrent use.
type Interner struct {
	ids   map[string]int
	names []string
}

// ID gives a name's number, and assigns the next one to a name that has none.
func (n *Interner) ID(name string) int {
	id, ok := n.ids[name]
	if !ok {
		if n.ids == nil {
			n.ids = map[string]int{}
		}
		id = len(n.names)
		n.ids[name] = id
		n.names = append(n.names, name)
	}
	return id
}

// Name gives the name that has a number.
func (n *Interner) Name(id int) string { return n.names[id] }
