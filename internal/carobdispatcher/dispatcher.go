// Package carobdispatcher forwards the orders of the control goroutine to the
// traffic goroutines of calls and jobs.
package carobdispatcher

import "sync"

// queueDepth is the capacity of a queue. No call or job gets more orders than this
// while its goroutine does not read them.
const queueDepth = 32

// Dispatcher has a queue of orders for each call or job in progress.
type Dispatcher[K comparable, V any] struct {
	mutex  sync.Mutex
	queues map[K]chan V
}

// NewDispatcher returns a dispatcher without queues.
func NewDispatcher[K comparable, V any]() *Dispatcher[K, V] {
	return &Dispatcher[K, V]{queues: map[K]chan V{}}
}

// Subscribe creates the queue of a key and returns it.
func (d *Dispatcher[K, V]) Subscribe(key K) <-chan V {
	queue := make(chan V, queueDepth)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.queues[key] = queue
	return queue
}

// Unsubscribe removes the queue of a key. Later orders for the key are dropped.
func (d *Dispatcher[K, V]) Unsubscribe(key K) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.queues, key)
}

// Enqueue enqueues an order. It never blocks: the order is dropped if the key has no
// queue or the queue is full.
func (d *Dispatcher[K, V]) Enqueue(key K, order V) {
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
