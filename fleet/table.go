package fleet

// Table holds the rows of one kind of entity in a dense slice, with an index by key.
//
// A pointer to a row is valid only until the next Insert or Delete.
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

// Get returns the row of a key, or nil if there is none.
func (t *Table[K, R]) Get(k K) *R {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return &t.rows[i]
}

// Insert stores a row under a key, replacing any row that the key has, and returns the stored row.
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

// Delete removes a key's row, if any, and moves the last row to its position.
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
	t.keys[last], t.rows[last] = noKey, noRow // frees what the removed row refers to
	t.keys, t.rows = t.keys[:last], t.rows[:last]
}

// All iterates over keys and rows. The loop may write to rows, but must not insert or delete any.
func (t *Table[K, R]) All() func(yield func(K, *R) bool) {
	return func(yield func(K, *R) bool) {
		for i := range t.rows {
			if !yield(t.keys[i], &t.rows[i]) {
				return
			}
		}
	}
}

// DeleteFunc removes all rows for which drop returns true.
func (t *Table[K, R]) DeleteFunc(drop func(K, *R) bool) {
	for i := 0; i < len(t.rows); {
		if drop(t.keys[i], &t.rows[i]) {
			t.Delete(t.keys[i])
			continue
		}
		i++
	}
}
