// Package carobring keeps the newest rows of one kind of entity, where older
// rows may be forgotten.
package carobring

// Config is how a ring is made.
type Config struct {
	// Limit is the most rows that the ring takes.
	Limit int
}

// Ring keeps rows by key, and forgets the oldest for a new one when it is full.
// It belongs to one goroutine.
type Ring[K comparable, R any] struct {
	// limit is never exceeded by len(rows).
	limit int
	// order has each key of rows once, the oldest first, from index first on.
	order []K
	first int
	rows  map[K]R
}

// NewRing returns an empty ring.
func NewRing[K comparable, R any](c Config) *Ring[K, R] {
	return &Ring[K, R]{limit: c.Limit, rows: map[K]R{}}
}

// Get returns the row of a key, and whether there is one.
func (r *Ring[K, R]) Get(key K) (R, bool) {
	row, ok := r.rows[key]
	return row, ok
}

// Put adds or replaces the row of a key. A key that stays keeps its age. Put
// returns the key and row that were forgotten for it, if any were.
func (r *Ring[K, R]) Put(key K, row R) (K, R, bool) {
	var oldest K
	var forgotten R
	if _, ok := r.rows[key]; ok {
		r.rows[key] = row
		return oldest, forgotten, false
	}
	if r.limit <= 0 {
		return key, row, true
	}
	full := len(r.rows) >= r.limit
	if full {
		oldest, forgotten = r.shift()
	}
	r.order = append(r.order, key)
	r.rows[key] = row
	return oldest, forgotten, full
}

// Len returns the number of rows.
func (r *Ring[K, R]) Len() int {
	return len(r.rows)
}

// shift takes the oldest row out.
func (r *Ring[K, R]) shift() (K, R) {
	oldest := r.order[r.first]
	row := r.rows[oldest]
	delete(r.rows, oldest)
	r.first++
	if r.first >= r.limit {
		r.order = append(r.order[:0], r.order[r.first:]...)
		r.first = 0
	}
	return oldest, row
}
