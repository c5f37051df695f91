// Package carobclaimlog carries out what the home of idempotency keys decides:
// it appends batches of claims to the log, and follows their streams.
package carobclaimlog

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobtail"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config is how a claim log is made.
type Config struct {
	Log     *carobplatform.Client
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
	Logger  *logrus.Entry
}

// ClaimLog speaks to the log for the shards that the node is home of.
type ClaimLog struct {
	config Config
	// context ends all appends and tails.
	context context.Context
	// stops ends the tail of each stream that is followed. It belongs to the
	// goroutine that calls Carry.
	stops map[carobstream.Stream]context.CancelFunc
}

// NewClaimLog returns a claim log that follows nothing. It ends with cx.
func NewClaimLog(cx context.Context, c Config) *ClaimLog {
	return &ClaimLog{config: c, context: cx, stops: map[carobstream.Stream]context.CancelFunc{}}
}

// Carry starts what the control goroutine decided.
func (c *ClaimLog) Carry(out *caroboutbox.Outbox) {
	for _, fl := range out.Subscriptions {
		c.stop(fl.Stream)
		if fl.Active {
			c.follow(fl.Stream)
		}
	}
	for _, cm := range out.AppendRequests {
		go c.commit(cm)
	}
}

func (c *ClaimLog) stop(stream carobstream.Stream) {
	if stop, ok := c.stops[stream]; ok {
		stop()
		delete(c.stops, stream)
	}
}

func (c *ClaimLog) follow(stream carobstream.Stream) {
	cx, cancel := context.WithCancel(c.context)
	c.stops[stream] = cancel
	tail := carobtail.NewTail(carobtail.Config{
		Stream: stream, Log: c.config.Log, Mailbox: c.config.Mailbox, Timer: c.config.Timer, Logger: c.config.Logger,
	})
	go tail.Run(cx)
}

// commit appends once. Whether the record landed in doubt is found out by reading.
func (c *ClaimLog) commit(cm carobappendrequest.AppendRequest) {
	_, err := c.config.Log.Append(c.context, cm.Stream, cm.Data)
	cd := carobappendresult.AppendResult{Stream: cm.Stream, Number: cm.Number, Kind: carobkind.Of(err)}
	c.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.AppendResults = append(in.AppendResults, cd) })
}
