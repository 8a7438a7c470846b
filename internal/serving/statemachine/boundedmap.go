package statemachine

// recent keeps the newest values by key, up to a bound, in the order in which their keys came.
type recent[V any] struct {
	most   int
	order  []string
	values map[string]V
}

func newRecent[V any](most int) *recent[V] { return &recent[V]{most: most, values: map[string]V{}} }

func (r *recent[V]) get(key string) (V, bool) {
	value, known := r.values[key]
	return value, known
}

// put keeps a value. The oldest key gives way where there are too many.
func (r *recent[V]) put(key string, value V) {
	_, known := r.values[key]
	r.values[key] = value
	if known {
		return
	}
	r.order = append(r.order, key)
	if len(r.order) > r.most {
		delete(r.values, r.order[0])
		r.order = append([]string(nil), r.order[1:]...)
	}
}

// keys returns the keys, the oldest first.
func (r *recent[V]) keys() []string { return r.order }

// all returns the values, those of the oldest keys first.
func (r *recent[V]) all() []V {
	var values []V
	for _, key := range r.order {
		values = append(values, r.values[key])
	}
	return values
}
