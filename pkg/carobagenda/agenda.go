// Package carobagenda keeps what is due when.
//
// A table with thousands of rows must not be read through each tick to find the
// few rows that are due. An agenda finds them in the order of their instants.
package carobagenda

import (
	"container/heap"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Agenda has an instant for each of its keys. It belongs to one goroutine.
type Agenda[K comparable] struct {
	entries entries[K]
}

// NewAgenda returns an empty agenda.
func NewAgenda[K comparable]() *Agenda[K] {
	return &Agenda[K]{entries: entries[K]{places: map[K]int{}}}
}

// Set makes a key due at an instant, instead of the one that it had. Never takes
// the key out.
func (a *Agenda[K]) Set(key K, at carobinstant.Instant) {
	place, ok := a.entries.places[key]
	switch {
	case ok && at == carobinstant.Never:
		heap.Remove(&a.entries, place)
	case ok:
		a.entries.list[place].at = at
		heap.Fix(&a.entries, place)
	case at != carobinstant.Never:
		heap.Push(&a.entries, entry[K]{key: key, at: at})
	}
}

// Next returns the earliest instant, or Never.
func (a *Agenda[K]) Next() carobinstant.Instant {
	if len(a.entries.list) == 0 {
		return carobinstant.Never
	}
	return a.entries.list[0].at
}

// Pop takes out the key that is due first, if its instant has come.
func (a *Agenda[K]) Pop(now carobinstant.Instant) (key K, ok bool) {
	if !a.Next().Reached(now) {
		return key, false
	}
	et, _ := heap.Pop(&a.entries).(entry[K])
	return et.key, true
}

// First returns the key that is due first, whether its instant has come or not.
func (a *Agenda[K]) First() (key K, ok bool) {
	if len(a.entries.list) == 0 {
		return key, false
	}
	return a.entries.list[0].key, true
}

// Len returns the number of keys.
func (a *Agenda[K]) Len() int {
	return len(a.entries.list)
}

type entry[K comparable] struct {
	key K
	at  carobinstant.Instant
}

// entries is a heap for container/heap.
type entries[K comparable] struct {
	list []entry[K]
	// places has the index of each key in list.
	places map[K]int
}

// Len returns the number of entries.
func (e *entries[K]) Len() int { return len(e.list) }

// Less orders entries by their instants.
func (e *entries[K]) Less(i, j int) bool { return e.list[i].at < e.list[j].at }

// Swap exchanges two entries.
func (e *entries[K]) Swap(i, j int) {
	e.list[i], e.list[j] = e.list[j], e.list[i]
	e.places[e.list[i].key], e.places[e.list[j].key] = i, j
}

// Push adds an entry at the end.
func (e *entries[K]) Push(x any) {
	et, _ := x.(entry[K])
	e.places[et.key] = len(e.list)
	e.list = append(e.list, et)
}

// Pop takes the last entry out.
func (e *entries[K]) Pop() any {
	last := len(e.list) - 1
	et := e.list[last]
	e.list[last] = entry[K]{}
	e.list = e.list[:last]
	delete(e.places, et.key)
	return et
}
