// Package carobmailbox passes the messages of other goroutines to the control
// goroutine.
package carobmailbox

import (
	"context"
	"sync"

	"github.com/carobknot/carobknot/pkg/carobinbox"
)

// Mailbox collects messages until the control goroutine takes all of them at once.
type Mailbox struct {
	mu    sync.Mutex
	inbox carobinbox.Inbox
	// tickDue has one element while a tick is due.
	tickDue chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{tickDue: make(chan struct{}, 1)}
}

// Post calls write to add messages and makes a tick due. It does not wait for the
// control goroutine.
func (m *Mailbox) Post(write func(inbox *carobinbox.Inbox)) {
	m.mu.Lock()
	write(&m.inbox)
	m.mu.Unlock()
	m.Ring()
}

// Ring makes a tick due even if there are no messages. It never blocks.
func (m *Mailbox) Ring() {
	select {
	case m.tickDue <- struct{}{}:
	default:
	}
}

// Await waits until a tick is due. It returns false if ctx has ended.
func (m *Mailbox) Await(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.tickDue:
		return true
	}
}

// Take removes and returns all messages.
func (m *Mailbox) Take() carobinbox.Inbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	inbox := m.inbox
	m.inbox = carobinbox.Inbox{}
	return inbox
}
