package carobtimer

import "github.com/carobknot/carobknot/pkg/carobinstant"

// absent is the place of a subscription that is not in the queue.
const absent = -1

type subscription struct {
	at   carobinstant.Instant
	call func()
	// place is the index in the queue, or absent.
	place int
}

// queue is a heap of subscriptions by their instants, for container/heap.
type queue []*subscription

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *queue) Push(x any) {
	sb, _ := x.(*subscription)
	sb.place = len(*q)
	*q = append(*q, sb)
}

func (q *queue) Pop() any {
	old := *q
	sb := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	sb.place = absent
	return sb
}
