// Package carobtable keeps the rows of one kind of entity.
//
// All state of a node is in tables, and systems run over them each tick. The
// order of rows depends only on the sequence of calls, so the same events lead
// to the same order in every run.
package carobtable

import "iter"

// Config holds the settings of a table.
type Config struct {
	// Limit is the maximum number of rows. It is positive.
	Limit int
}

// Table maps keys to rows. It belongs to one goroutine.
type Table[K comparable, R any] struct {
	// limit is the maximum of len(rows).
	limit int
	// keys and rows have the same length; rows[i] belongs to keys[i].
	keys []K
	rows []*R
	// indices has the index of each key in keys.
	indices map[K]int
}

// NewTable returns an empty table.
func NewTable[K comparable, R any](c Config) *Table[K, R] {
	return &Table[K, R]{limit: c.Limit, indices: map[K]int{}}
}

// Get returns the row of a key, or nil.
func (t *Table[K, R]) Get(key K) *R {
	i, ok := t.indices[key]
	if !ok {
		return nil
	}
	return t.rows[i]
}

// Put adds or replaces the row of a key. It returns the row in the table, or
// nil if the key is new and the table is full.
func (t *Table[K, R]) Put(key K, row R) *R {
	if i, ok := t.indices[key]; ok {
		*t.rows[i] = row
		return t.rows[i]
	}
	if t.Full() {
		return nil
	}
	t.indices[key] = len(t.keys)
	t.keys = append(t.keys, key)
	t.rows = append(t.rows, &row)
	return &row
}

// Delete removes a row if it exists. The last row moves to its index.
func (t *Table[K, R]) Delete(key K) {
	i, ok := t.indices[key]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.indices[t.keys[i]] = i
	t.rows[last] = nil
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	delete(t.indices, key)
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int {
	return len(t.keys)
}

// Full reports whether the number of rows has reached the limit.
func (t *Table[K, R]) Full() bool {
	return len(t.keys) >= t.limit
}

// All iterates over the rows from last to first. The current row may be deleted
// during the iteration. Rows may be added, and are not visited.
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
