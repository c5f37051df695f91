// Package carobeventlog writes what the control goroutine decided and learned as
// structured lines, for those on call.
//
// One goroutine writes. Lines that come faster than it writes are dropped and
// counted. What went well is written a bounded number of times a second; failures
// that a caller sees have a larger bound of their own.
package carobeventlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Config is how a log is made.
type Config struct {
	Logger *logrus.Logger
	Timer  *carobtimer.Timer
	// Usual is how many lines a second are written of what went well, and Failures
	// of what did not.
	Usual, Failures int
	// Audits says that the audit trail is written too, since nothing else does.
	Audits bool
}

// depth is how many lines wait to be written at most.
const depth = 2048

// EventLog writes lines.
type EventLog struct {
	config Config
	lines  chan line
	// left is how many lines of each class may still come in this second, which
	// began at since. Both belong to the goroutine that calls Carry.
	left  [2]int
	since carobinstant.Instant
	// dropped counts the lines that were left out since the last one that says so.
	dropped atomic.Int64
}

// line is one of the two.
type line struct {
	decision *carobdecision.Decision
	audit    *carobaudit.Audit
}

// Classes of lines.
const (
	usual = iota
	failure
)

// NewEventLog returns a log that writes nothing yet.
func NewEventLog(c Config) *EventLog {
	return &EventLog{config: c, lines: make(chan line, depth)}
}

// Carry takes in the lines of a tick. It never blocks.
func (l *EventLog) Carry(out *caroboutbox.Outbox) {
	if len(out.Decisions) == 0 && len(out.Audits) == 0 {
		return
	}
	if now := l.config.Timer.Now(); l.since == carobinstant.Never || now.Sub(l.since) >= time.Second {
		l.since, l.left = now, [2]int{l.config.Usual, l.config.Failures}
	}
	for i := range out.Audits {
		if !l.config.Audits {
			break
		}
		l.put(failure, line{audit: &out.Audits[i]})
	}
	for i := range out.Decisions {
		class := usual
		if out.Decisions[i].Kind != carobkind.None {
			class = failure
		}
		l.put(class, line{decision: &out.Decisions[i]})
	}
}

func (l *EventLog) put(class int, ln line) {
	if l.left[class] == 0 {
		l.dropped.Add(1)
		return
	}
	l.left[class]--
	select {
	case l.lines <- ln:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many lines were left out and not told of yet.
func (l *EventLog) Dropped() int64 { return l.dropped.Load() }

// Run writes until cx ends.
func (l *EventLog) Run(cx context.Context) {
	for {
		select {
		case <-cx.Done():
			return
		case ln := <-l.lines:
			l.write(ln)
		}
	}
}

func (l *EventLog) write(ln line) {
	if au := ln.audit; au != nil {
		l.config.Logger.WithFields(logrus.Fields{
			"who": au.Who, "what": au.What, "from": au.From, "to": au.To,
		}).Info(au.Component + ": changed")
		return
	}
	dc := ln.decision
	fields := logrus.Fields{"id": string(dc.Request), "call": dc.Call.String()}
	if dc.Attempt > 0 {
		fields["attempt"] = dc.Attempt
	}
	if dc.Target != (carobtargetid.ID{}) {
		fields["target"] = dc.Target.String()
	}
	for _, in := range dc.Inputs {
		fields[in.Name] = in.Value
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		fields["dropped"] = dropped
	}
	fields["outcome"] = "done"
	if dc.Kind != carobkind.None {
		fields["outcome"] = string(dc.Kind)
	}
	l.config.Logger.WithFields(fields).Info(dc.Component + ": " + dc.Text)
}
