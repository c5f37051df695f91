// Package carobclaimlog appends batches of claims to the log and reads the streams
// of claims, for the shards of which this node is the home.
package carobclaimlog

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtail"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config holds the parameters of a claim log.
type Config struct {
	Log     *caroblogclient.LogClient
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
	Logger  *logrus.Entry
}

// ClaimLog carries out the appends and subscriptions that the control goroutine requests
// for the shards of idempotency keys of which this node is the home.
type ClaimLog struct {
	config Config
	// ctx ends all appends and tails.
	ctx context.Context
	// cancels holds the function that ends the tail of each stream being read. Only
	// the goroutine that calls Execute uses it.
	cancels map[carobstream.Stream]context.CancelFunc
}

// NewClaimLog returns a claim log that reads no stream yet. Its appends and tails
// end when ctx is done.
func NewClaimLog(ctx context.Context, c Config) *ClaimLog {
	return &ClaimLog{config: c, ctx: ctx, cancels: map[carobstream.Stream]context.CancelFunc{}}
}

// Execute starts and stops reading streams, and starts the appends of a tick. It does
// not wait for the log.
func (c *ClaimLog) Execute(out *caroboutbox.Outbox) {
	for _, subscription := range out.Subscriptions {
		c.stop(subscription.Stream)
		if subscription.Active {
			c.start(subscription.Stream)
		}
	}
	for _, request := range out.AppendRequests {
		go c.appendBatch(request)
	}
}

// stop stops reading a stream, if it is being read.
func (c *ClaimLog) stop(stream carobstream.Stream) {
	if cancel, ok := c.cancels[stream]; ok {
		cancel()
		delete(c.cancels, stream)
	}
}

// start starts reading a stream from its first retained record on.
func (c *ClaimLog) start(stream carobstream.Stream) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancels[stream] = cancel
	tail := carobtail.NewTail(carobtail.Config{
		Stream: stream, Log: c.config.Log, Mailbox: c.config.Mailbox, Timer: c.config.Timer, Logger: c.config.Logger,
	})
	go tail.Run(ctx)
}

// appendBatch tries once to append a batch and posts the result. If the result is
// AppendUncertain, the control goroutine determines from the records of the stream
// whether the batch was appended.
func (c *ClaimLog) appendBatch(request carobappendrequest.AppendRequest) {
	_, err := c.config.Log.Append(c.ctx, request.Stream, request.Data)
	result := carobappendresult.AppendResult{Stream: request.Stream, Number: request.Number, Kind: carobkind.Of(err)}
	c.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.AppendResults = append(in.AppendResults, result) })
}
