// Package carobtail reads streams of the platform's log continuously.
package carobtail

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/caroblogpage"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
)

// reader reads records of the log.
type reader interface {
	Read(ctx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (caroblogpage.LogPage, error)
}

// Config holds the parameters of a tail.
type Config struct {
	Stream  carobstream.Stream
	Log     reader
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
	Logger  *logrus.Entry
}

const (
	// longPollTimeout is how long the log may hold a read until there are records.
	longPollTimeout = 10 * time.Second
	// retryInterval is the time between two reads while the log is unavailable.
	retryInterval = 200 * time.Millisecond
)

// Tail reads one stream and posts its records to the control goroutine's mailbox.
type Tail struct {
	config Config
}

// NewTail returns a tail that reads nothing until Run is called.
func NewTail(c Config) *Tail {
	return &Tail{config: c}
}

// Run posts the records of the stream, from the first retained one on, until ctx
// is done. No read waits for records until one has found the end of the stream, so that
// the control goroutine learns at once when it has all records.
func (t *Tail) Run(ctx context.Context) {
	next := caroboffset.Offset(0)
	failing, wait := false, time.Duration(0)
	atEnd := false
	for ctx.Err() == nil {
		page, err := t.config.Log.Read(ctx, t.config.Stream, next, wait)
		if err != nil {
			t.logChange(&failing, err)
			_ = t.config.Timer.Wait(ctx, retryInterval)
			continue
		}
		t.logChange(&failing, nil)
		next = max(next, page.NextOffset)
		if atEnd = atEnd || len(page.Records) == 0; atEnd {
			wait = longPollTimeout
		}
		t.post(page, atEnd)
	}
}

// post posts the records of a page and the bounds of the stream. atEnd is true once the end
// of the stream has been found.
func (t *Tail) post(page caroblogpage.LogPage, atEnd bool) {
	t.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		in.Records = append(in.Records, page.Records...)
		in.StreamBounds = append(in.StreamBounds, carobstreambounds.StreamBounds{Stream: t.config.Stream, First: page.FirstOffset, Next: page.NextOffset, AtEnd: atEnd})
	})
}

// logChange logs the first of several failed reads, and the first read that
// succeeds after them. failing holds whether the previous read failed.
func (t *Tail) logChange(failing *bool, err error) {
	if *failing == (err != nil) {
		return
	}
	*failing = err != nil
	entry := t.config.Logger.WithField("stream", t.config.Stream)
	if *failing {
		entry.WithError(err).Warn("log: stream cannot be read")
		return
	}
	entry.Info("log: stream can be read again")
}
