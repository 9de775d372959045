package scheduler

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOrderedMapVisitsEachEntryOnce guards against an entry that is deleted and set
// again and is then visited twice: a worker that returns to a pool would count its
// load twice.
func TestOrderedMapVisitsEachEntryOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderedMap[int, int]()
		var want []int
		for i := range rapid.IntRange(1, 200).Draw(t, "operations") {
			key := rapid.IntRange(0, 8).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				m.delete(key)
				want = slices.DeleteFunc(want, func(k int) bool { return k == key })
			} else {
				m.set(key, i)
				if !slices.Contains(want, key) {
					want = append(want, key)
				}
			}
			var got []int
			for key := range m.all() {
				got = append(got, key)
			}
			if !slices.Equal(got, want) || m.len() != len(want) {
				t.Fatalf("visited %v, want %v", got, want)
			}
		}
	})
}
