package fuzz

import (
	"container/heap"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// schedule is virtual time: events in their order, and the instant reached.
type schedule struct {
	now   carobinstant.Instant
	queue eventQueue
	count int
}

type event struct {
	at carobinstant.Instant
	// order parts events of one instant: first scheduled, first done.
	order int
	do    func()
}

// after schedules an event.
func (s *schedule) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), order: s.count, do: do})
}

// advance does the events of the next while.
func (s *schedule) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		ev := heap.Pop(&s.queue).(event) //nolint:forcetypeassert // the heap holds nothing else
		s.now = ev.at
		ev.do()
	}
	s.now = end
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // as above
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	ev := (*q)[last]
	*q = (*q)[:last]
	return ev
}
