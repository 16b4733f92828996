package fleet

// Table holds the rows of one kind of entity, dense and indexed by key.
//
// A pointer to a row is valid until the next Insert or Delete.
type Table[K comparable, R any] struct {
	index map[K]int
	keys  []K
	rows  []R
}

// NewTable returns an empty table.
func NewTable[K comparable, R any]() *Table[K, R] {
	return &Table[K, R]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int { return len(t.rows) }

// Get returns the row of a key, or nil.
func (t *Table[K, R]) Get(k K) *R {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return &t.rows[i]
}

// Insert stores a row under a key, in place of an earlier one, and returns it.
func (t *Table[K, R]) Insert(k K, r R) *R {
	if i, ok := t.index[k]; ok {
		t.rows[i] = r
		return &t.rows[i]
	}
	t.index[k] = len(t.rows)
	t.keys = append(t.keys, k)
	t.rows = append(t.rows, r)
	return &t.rows[len(t.rows)-1]
}

// Delete removes a key's row; the last row takes its place.
func (t *Table[K, R]) Delete(k K) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	delete(t.index, k)
	var (
		noKey K
		noRow R
	)
	t.keys[last], t.rows[last] = noKey, noRow // lets go of what the row refers to
	t.keys, t.rows = t.keys[:last], t.rows[:last]
}

// All iterates over keys and rows. Rows may be written, but not inserted or deleted, meanwhile.
func (t *Table[K, R]) All() func(yield func(K, *R) bool) {
	return func(yield func(K, *R) bool) {
		for i := range t.rows {
			if !yield(t.keys[i], &t.rows[i]) {
				return
			}
		}
	}
}

// DeleteFunc removes the rows for which drop returns true.
func (t *Table[K, R]) DeleteFunc(drop func(K, *R) bool) {
	for i := 0; i < len(t.rows); {
		if drop(t.keys[i], &t.rows[i]) {
			t.Delete(t.keys[i])
			continue
		}
		i++
	}
}
