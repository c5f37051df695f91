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
	m.RequestTick()
}

// RequestTick makes a tick due even if there are no messages. It never blocks.
func (m *Mailbox) RequestTick() {
	select {
	case m.tickDue <- struct{}{}:
	default:
	}
}

// AwaitTick waits until a tick is due. It returns false if ctx has ended.
func (m *Mailbox) AwaitTick(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.tickDue:
		return true
	}
}

// TakeAll removes and returns all messages.
func (m *Mailbox) TakeAll() carobinbox.Inbox {
	m.mu.Lock()
	defer m.mu.Unlock()
	inbox := m.inbox
	m.inbox = carobinbox.Inbox{}
	return inbox
}
