// Package carobtable keeps the rows of one kind of entity.
//
// All state of a node stands in tables, and systems run over them each tick.
// The order of rows depends on nothing but the calls made, so the same events
// lead to the same order in every run.
package carobtable

import "iter"

// Config is how a table is made.
type Config struct {
	// Limit is the most rows that the table takes. It is positive.
	Limit int
}

// Table keeps rows by key. It belongs to one goroutine.
type Table[K comparable, R any] struct {
	// limit is never exceeded by len(rows).
	limit int
	// keys and rows have the same length; rows[i] belongs to keys[i].
	keys []K
	rows []*R
	// places has the index of each key.
	places map[K]int
}

// NewTable returns an empty table.
func NewTable[K comparable, R any](c Config) *Table[K, R] {
	return &Table[K, R]{limit: c.Limit, places: map[K]int{}}
}

// Get returns the row of a key, or nil.
func (t *Table[K, R]) Get(key K) *R {
	i, ok := t.places[key]
	if !ok {
		return nil
	}
	return t.rows[i]
}

// Put adds or replaces the row of a key. It returns the row in the table, or
// nil if the key is new and the table is full.
func (t *Table[K, R]) Put(key K, row R) *R {
	if i, ok := t.places[key]; ok {
		*t.rows[i] = row
		return t.rows[i]
	}
	if t.Full() {
		return nil
	}
	t.places[key] = len(t.keys)
	t.keys = append(t.keys, key)
	t.rows = append(t.rows, &row)
	return &row
}

// Delete takes a row out. The last row moves into its place.
func (t *Table[K, R]) Delete(key K) {
	i, ok := t.places[key]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.places[t.keys[i]] = i
	t.rows[last] = nil
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	delete(t.places, key)
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int {
	return len(t.keys)
}

// Full reports whether no further row fits.
func (t *Table[K, R]) Full() bool {
	return len(t.keys) >= t.limit
}

// All runs over the rows, last to first. The row at hand may be deleted, and
// rows may be added, which this run does not reach.
func (t *Table[K, R]) All() iter.Seq2[K, *R] {
	return func(yield func(K, *R) bool) {
		for i := len(t.keys) - 1; i >= 0; i-- {
			if i >= len(t.keys) {
				continue
			}
			if !yield(t.keys[i], t.rows[i]) {
				return
			}
		}
	}
}
