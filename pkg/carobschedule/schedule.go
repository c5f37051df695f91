// Package carobschedule is a priority queue of keys, ordered by the instants at
// which they are due.
//
// Systems use it instead of scanning a table of thousands of rows in each tick
// for the few that are due.
package carobschedule

import (
	"container/heap"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Schedule has one instant for each key. It belongs to one goroutine.
type Schedule[K comparable] struct {
	entries entryHeap[K]
}

// NewSchedule returns an empty schedule.
func NewSchedule[K comparable]() *Schedule[K] {
	return &Schedule[K]{entries: entryHeap[K]{indices: map[K]int{}}}
}

// Set sets or replaces the instant at which a key is due. Never removes the
// key.
func (s *Schedule[K]) Set(key K, at carobinstant.Instant) {
	index, ok := s.entries.indices[key]
	switch {
	case ok && at == carobinstant.Never:
		heap.Remove(&s.entries, index)
	case ok:
		s.entries.list[index].at = at
		heap.Fix(&s.entries, index)
	case at != carobinstant.Never:
		heap.Push(&s.entries, entry[K]{key: key, at: at})
	}
}

// NextDue returns the earliest instant, or Never if the schedule is empty.
func (s *Schedule[K]) NextDue() carobinstant.Instant {
	if len(s.entries.list) == 0 {
		return carobinstant.Never
	}
	return s.entries.list[0].at
}

// Pop removes and returns the key with the earliest instant. It returns false
// if no key is due at now.
func (s *Schedule[K]) Pop(now carobinstant.Instant) (key K, ok bool) {
	if !s.NextDue().Reached(now) {
		return key, false
	}
	due, _ := heap.Pop(&s.entries).(entry[K])
	return due.key, true
}

// Peek returns the key with the earliest instant, whether due or not. It
// returns false if the schedule is empty.
func (s *Schedule[K]) Peek() (key K, ok bool) {
	if len(s.entries.list) == 0 {
		return key, false
	}
	return s.entries.list[0].key, true
}

// Len returns the number of keys.
func (s *Schedule[K]) Len() int {
	return len(s.entries.list)
}

// entry is a key and the instant at which it is due.
type entry[K comparable] struct {
	key K
	at  carobinstant.Instant
}

// entryHeap implements heap.Interface and keeps the index of each key.
type entryHeap[K comparable] struct {
	list []entry[K]
	// indices has the index of each key in list.
	indices map[K]int
}

// Len returns the number of entries.
func (e *entryHeap[K]) Len() int { return len(e.list) }

// Less orders entries by their instants.
func (e *entryHeap[K]) Less(i, j int) bool { return e.list[i].at < e.list[j].at }

// Swap exchanges two entries.
func (e *entryHeap[K]) Swap(i, j int) {
	e.list[i], e.list[j] = e.list[j], e.list[i]
	e.indices[e.list[i].key], e.indices[e.list[j].key] = i, j
}

// Push adds an entry at the end.
func (e *entryHeap[K]) Push(x any) {
	added, _ := x.(entry[K])
	e.indices[added.key] = len(e.list)
	e.list = append(e.list, added)
}

// Pop removes the last entry.
func (e *entryHeap[K]) Pop() any {
	last := len(e.list) - 1
	removed := e.list[last]
	e.list[last] = entry[K]{}
	e.list = e.list[:last]
	delete(e.indices, removed.key)
	return removed
}
