// Package carobmailbox carries messages from the traffic goroutines to the
// control goroutine.
package carobmailbox

import (
	"context"
	"sync"

	"github.com/carobknot/carobknot/pkg/carobinbox"
)

// Mailbox collects messages until the control goroutine takes them together.
type Mailbox struct {
	mutex sync.Mutex
	inbox carobinbox.Inbox
	// rung holds one element while the control goroutine has something to do.
	rung chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{rung: make(chan struct{}, 1)}
}

// Post adds messages. It never blocks on the control goroutine.
func (m *Mailbox) Post(write func(in *carobinbox.Inbox)) {
	m.mutex.Lock()
	write(&m.inbox)
	m.mutex.Unlock()
	m.Ring()
}

// Ring starts a tick though no message came.
func (m *Mailbox) Ring() {
	select {
	case m.rung <- struct{}{}:
	default:
	}
}

// Await waits until the mailbox was rung. It reports false once cx has ended.
func (m *Mailbox) Await(cx context.Context) bool {
	select {
	case <-cx.Done():
		return false
	case <-m.rung:
		return true
	}
}

// Take returns what has come together.
func (m *Mailbox) Take() carobinbox.Inbox {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	in := m.inbox
	m.inbox = carobinbox.Inbox{}
	return in
}
