// Package carobdispatcher hands orders of the control goroutine to the traffic
// goroutines that wait for them.
package carobdispatcher

import "sync"

// depth is how many orders may wait for one traffic goroutine. No call or job
// gets more orders than this while its goroutine does not listen.
const depth = 32

// Dispatcher has a queue of orders for each call or job in traffic.
type Dispatcher[K comparable, V any] struct {
	mutex  sync.Mutex
	queues map[K]chan V
}

// NewDispatcher returns an empty dispatcher.
func NewDispatcher[K comparable, V any]() *Dispatcher[K, V] {
	return &Dispatcher[K, V]{queues: map[K]chan V{}}
}

// Open makes the queue of a key.
func (d *Dispatcher[K, V]) Open(key K) <-chan V {
	queue := make(chan V, depth)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.queues[key] = queue
	return queue
}

// Close takes the queue of a key away.
func (d *Dispatcher[K, V]) Close(key K) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.queues, key)
}

// Give queues an order. It never blocks and drops orders that nobody waits for.
func (d *Dispatcher[K, V]) Give(key K, order V) {
	d.mutex.Lock()
	queue, ok := d.queues[key]
	d.mutex.Unlock()
	if !ok {
		return
	}
	select {
	case queue <- order:
	default:
	}
}
