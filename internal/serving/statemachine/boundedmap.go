package statemachine

// boundedMap is a map that keeps the order in which its keys were added. It evicts the oldest key when it has
// more than capacity keys.
type boundedMap[V any] struct {
	capacity int
	order    []string // keys, oldest first; a new value for a known key does not move it
	values   map[string]V
}

func newBoundedMap[V any](capacity int) *boundedMap[V] {
	return &boundedMap[V]{capacity: capacity, values: map[string]V{}}
}

func (b *boundedMap[V]) get(key string) (V, bool) {
	value, known := b.values[key]
	return value, known
}

// put sets the value of a key, and evicts the oldest key if there are more than capacity.
func (b *boundedMap[V]) put(key string, value V) {
	_, known := b.values[key]
	b.values[key] = value
	if known {
		return
	}
	b.order = append(b.order, key)
	if len(b.order) > b.capacity {
		delete(b.values, b.order[0])
		b.order = append([]string(nil), b.order[1:]...)
	}
}

// keys returns the keys, oldest first. The slice must not be changed.
func (b *boundedMap[V]) keys() []string { return b.order }

// inOrder returns the values in the order of their keys, oldest first.
func (b *boundedMap[V]) inOrder() []V {
	var values []V
	for _, key := range b.order {
		values = append(values, b.values[key])
	}
	return values
}
