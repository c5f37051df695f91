// Package carobevictingmap is a map of limited size that evicts the oldest rows.
package carobevictingmap

// Config holds the settings of an EvictingMap.
type Config struct {
	// Limit is the maximum number of rows. If it is not positive, no row is
	// kept.
	Limit int
}

// EvictingMap keeps rows by key and evicts the oldest one when a new one is added to a
// full map. It belongs to one goroutine.
type EvictingMap[K comparable, R any] struct {
	// limit is the maximum of len(rows).
	limit int
	// order[first:] has each key of rows once, the oldest first.
	order []K
	first int
	rows  map[K]R
}

// NewEvictingMap returns an empty map.
func NewEvictingMap[K comparable, R any](c Config) *EvictingMap[K, R] {
	return &EvictingMap[K, R]{limit: c.Limit, rows: map[K]R{}}
}

// Get returns the row of a key, and whether there is one.
func (m *EvictingMap[K, R]) Get(key K) (R, bool) {
	row, ok := m.rows[key]
	return row, ok
}

// Put adds or replaces the row of a key. A replaced row keeps its age. Put
// returns the evicted key and row, and whether a row was evicted; without a
// positive limit that is the row that was passed.
func (m *EvictingMap[K, R]) Put(key K, row R) (K, R, bool) {
	var oldest K
	var evicted R
	if _, ok := m.rows[key]; ok {
		m.rows[key] = row
		return oldest, evicted, false
	}
	if m.limit <= 0 {
		return key, row, true
	}
	full := len(m.rows) >= m.limit
	if full {
		oldest, evicted = m.removeOldest()
	}
	m.order = append(m.order, key)
	m.rows[key] = row
	return oldest, evicted, full
}

// Len returns the number of rows.
func (m *EvictingMap[K, R]) Len() int {
	return len(m.rows)
}

// removeOldest removes and returns the oldest row. The removed keys are cut
// from order only once there are limit of them, so that the cost of the copy is
// spread over many calls.
func (m *EvictingMap[K, R]) removeOldest() (K, R) {
	oldest := m.order[m.first]
	row := m.rows[oldest]
	delete(m.rows, oldest)
	m.first++
	if m.first >= m.limit {
		m.order = append(m.order[:0], m.order[m.first:]...)
		m.first = 0
	}
	return oldest, row
}
