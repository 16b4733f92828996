package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestTableMatchesMap compares a Table with a map under random inserts and deletes. It guards
// against an index that is wrong after Delete has moved the last row.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, model := NewTable[int, int](), map[int]int{}
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			k := rapid.IntRange(0, 9).Draw(rt, "key")
			if rapid.Bool().Draw(rt, "insert") {
				table.Insert(k, k*10)
				model[k] = k * 10
			} else {
				table.Delete(k)
				delete(model, k)
			}
		}
		got := map[int]int{}
		for k, r := range table.All() {
			got[k] = *r
		}
		qt.Assert(t, got, qt.DeepEquals, model)
	})
}
