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
// is done. The first read does not wait for records, so that the control goroutine
// receives the bounds of an empty stream at once.
func (t *Tail) Run(ctx context.Context) {
	next := caroboffset.Offset(0)
	failing, wait := false, time.Duration(0)
	for ctx.Err() == nil {
		page, err := t.config.Log.Read(ctx, t.config.Stream, next, wait)
		if err != nil {
			t.logChange(&failing, err)
			_ = t.config.Timer.Wait(ctx, retryInterval)
			continue
		}
		t.logChange(&failing, nil)
		next, wait = max(next, page.NextOffset), longPollTimeout
		t.post(page)
	}
}

// post posts the records of a page and the bounds of the stream.
func (t *Tail) post(page caroblogpage.LogPage) {
	t.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		in.Records = append(in.Records, page.Records...)
		in.StreamBounds = append(in.StreamBounds, carobstreambounds.StreamBounds{Stream: t.config.Stream, First: page.FirstOffset, Next: page.NextOffset})
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
