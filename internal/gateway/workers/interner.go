package workers

// Interner assigns consecutive integers from 0 to names, in the order in which they are first seen. The zero
// value is empty. It is not safe for concurrent use.
type Interner struct {
	ids   map[string]int
	names []string
}

// ID returns the number of a name. It assigns the next number to an unknown name.
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

// Name returns the name with the given number.
func (n *Interner) Name(id int) string { return n.names[id] }
