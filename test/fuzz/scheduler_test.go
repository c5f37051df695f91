package fuzz

import (
	"container/heap"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// scheduler runs events in the order of their virtual time.
type scheduler struct {
	now   carobinstant.Instant
	queue eventQueue
	// scheduled counts all events ever scheduled.
	scheduled int
}

type event struct {
	at carobinstant.Instant
	// order breaks ties between events of one instant: first scheduled, first run.
	order int
	run   func()
}

// after schedules an event; a negative delay counts as 0.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: s.now.Add(max(delay, 0)), order: s.scheduled, run: run})
}

// advance moves the clock on by a duration and runs the events that become due.
func (s *scheduler) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event) //nolint:forcetypeassert // the heap holds nothing else
		s.now = next.at
		next.run()
	}
	s.now = end
}

// eventQueue is a heap of events, the earliest first.
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
