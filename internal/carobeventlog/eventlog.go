// Package carobeventlog writes the decisions and audit entries of the control
// goroutine as structured log lines, for operators on call.
//
// One goroutine writes. Lines that arrive faster than it writes are dropped and
// counted. The number of lines a second is limited; failures that a caller sees have
// a limit of their own, so that successful calls cannot displace them.
package carobeventlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Config holds the parameters of an event log.
type Config struct {
	Logger *logrus.Logger
	Timer  *carobtimer.Timer
	// MaxSuccessLines limits the lines a second about successful decisions;
	// MaxFailureLines limits those about failures and audit entries.
	MaxSuccessLines, MaxFailureLines int
	// LogAudits makes the log include the audit entries. Set it where no other part
	// logs them.
	LogAudits bool
}

// loggedDelay is the shortest delay of a tick that is logged.
const loggedDelay = 250 * time.Millisecond

// queueSize is the maximum number of lines that wait to be written.
const queueSize = 2048

// EventLog writes log lines.
type EventLog struct {
	config Config
	lines  chan line
	// remaining is how many lines of each class may still be written in the present
	// second, which began at secondStart. Only the goroutine that calls Execute uses
	// both.
	remaining   [2]int
	secondStart carobinstant.Instant
	// dropped counts the lines dropped since the last line that reported the count.
	dropped atomic.Int64
}

// line holds a decision or an audit entry; the other one is nil.
type line struct {
	decision *carobdecision.Decision
	audit    *carobaudit.Audit
}

// Classes of lines, each with its own limit.
const (
	success = iota
	failure
)

// NewEventLog returns a log that writes nothing until Run is called.
func NewEventLog(c Config) *EventLog {
	return &EventLog{config: c, lines: make(chan line, queueSize)}
}

// Execute enqueues the lines of a tick. It never blocks.
func (l *EventLog) Execute(out *caroboutbox.Outbox) {
	late := out.TickDelay >= loggedDelay
	if len(out.Decisions) == 0 && len(out.Audits) == 0 && !late {
		return
	}
	if now := l.config.Timer.Now(); l.secondStart == carobinstant.Never || now.Sub(l.secondStart) >= time.Second {
		l.secondStart, l.remaining = now, [2]int{l.config.MaxSuccessLines, l.config.MaxFailureLines}
	}
	if late {
		l.enqueue(failure, line{decision: lateTick(out.TickDelay)})
	}
	for i := range out.Audits {
		if !l.config.LogAudits {
			break
		}
		l.enqueue(failure, line{audit: &out.Audits[i]})
	}
	for i := range out.Decisions {
		class := success
		if out.Decisions[i].Kind != carobkind.None {
			class = failure
		}
		l.enqueue(class, line{decision: &out.Decisions[i]})
	}
}

// lateTick returns the decision whose line shows that a tick was late.
func lateTick(delay time.Duration) *carobdecision.Decision {
	return &carobdecision.Decision{
		Component: "control", Text: "tick was late", Inputs: []carobinput.Input{{Name: "delayms", Value: carobinput.Milliseconds(delay)}},
	}
}

// enqueue drops the line if the limit of its class is reached or the queue is full.
func (l *EventLog) enqueue(class int, ln line) {
	if l.remaining[class] == 0 {
		l.dropped.Add(1)
		return
	}
	l.remaining[class]--
	select {
	case l.lines <- ln:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many lines were dropped that no line has reported yet.
func (l *EventLog) Dropped() int64 { return l.dropped.Load() }

// Run writes lines until ctx is done.
func (l *EventLog) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ln := <-l.lines:
			l.write(ln)
		}
	}
}

func (l *EventLog) write(ln line) {
	if entry := ln.audit; entry != nil {
		fields := logrus.Fields{"who": entry.Who, "what": entry.What, "from": entry.From, "to": entry.To}
		for _, input := range entry.Inputs {
			fields[input.Name] = input.Value
		}
		l.config.Logger.WithFields(fields).Info(entry.Component + ": changed")
		return
	}
	decision := ln.decision
	fields := logrus.Fields{"id": string(decision.Request), "call": decision.Call.String()}
	if decision.Organisation != "" {
		fields["organisation"] = string(decision.Organisation)
	}
	if decision.Attempt > 0 {
		fields["attempt"] = decision.Attempt
	}
	if decision.Target != (carobtargetid.ID{}) {
		fields["target"] = decision.Target.String()
	}
	for _, input := range decision.Inputs {
		fields[input.Name] = input.Value
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		fields["dropped"] = dropped
	}
	fields["outcome"] = "done"
	if decision.Kind != carobkind.None {
		fields["outcome"] = string(decision.Kind)
	}
	l.config.Logger.WithFields(fields).Info(decision.Component + ": " + decision.Text)
}
