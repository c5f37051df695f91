// Package carobtail follows streams of the platform's log.
package carobtail

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobpage"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
)

// reader reads records of the log.
type reader interface {
	Read(cx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (carobpage.Page, error)
}

// Config is how a tail is made.
type Config struct {
	Stream  carobstream.Stream
	Log     reader
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
	Logger  *logrus.Entry
}

const (
	// wait is how long the log holds a read that finds nothing.
	wait = 10 * time.Second
	// pause is the time between two reads while the log is out.
	pause = 200 * time.Millisecond
)

// Tail follows one stream.
type Tail struct {
	config Config
}

// NewTail returns a tail.
func NewTail(c Config) *Tail {
	return &Tail{config: c}
}

// Run posts the records of the stream, from the first kept one on, until cx ends.
// The first read waits for nothing, so that how far an empty stream reaches is
// known at once.
func (t *Tail) Run(cx context.Context) {
	next := caroboffset.Offset(0)
	out, hold := false, time.Duration(0)
	for cx.Err() == nil {
		pg, err := t.config.Log.Read(cx, t.config.Stream, next, hold)
		if err != nil {
			t.say(&out, err)
			_ = t.config.Timer.Wait(cx, pause)
			continue
		}
		t.say(&out, nil)
		next, hold = max(next, pg.Next), wait
		t.post(pg)
	}
}

// post passes on what a read found.
func (t *Tail) post(pg carobpage.Page) {
	t.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		in.Records = append(in.Records, pg.Records...)
		in.StreamBounds = append(in.StreamBounds, carobstreambounds.StreamBounds{Stream: t.config.Stream, First: pg.First, Next: pg.Next})
	})
}

// say logs when the log goes out and when it is back.
func (t *Tail) say(out *bool, err error) {
	if *out == (err != nil) {
		return
	}
	*out = err != nil
	entry := t.config.Logger.WithField("stream", t.config.Stream)
	if *out {
		entry.WithError(err).Warn("log: stream cannot be read")
		return
	}
	entry.Info("log: stream is read again")
}
