package carobworld

import (
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// SendMessage enqueues a control message and fills in this node as its sender.
func (w *World) SendMessage(message carobmessage.Message) {
	message.From, message.Incarnation, message.ReplyTo = w.Self.Node, w.Self.Incarnation, w.Self.PeerAddress
	message.RoutesVersion = w.RoutesVersion()
	w.Outbox.Messages = append(w.Outbox.Messages, message)
}

// RecordDecision records a decision for later lookup by operators.
func (w *World) RecordDecision(decision carobdecision.Decision) {
	w.Outbox.Decisions = append(w.Outbox.Decisions, decision)
}

// Audit records a change in the audit trail: the component of the system that saw it, who made
// it, what changed, and the old and new value.
func (w *World) Audit(component, who, what, from, to string) {
	w.Outbox.Audits = append(w.Outbox.Audits, carobaudit.Audit{Component: component, Who: who, What: what, From: from, To: to})
}

// AuditRoutes records in the audit trail that a newer route table came from a source. The log
// line has how long ago the older table was confirmed to be the newest (confirmedms), and how
// long ago the last read of this node began that confirmed a table (readms). If the first is
// shorter, the confirmation came from another node.
func (w *World) AuditRoutes(now carobinstant.Instant, from string, table *carobroutetable.RouteTable) {
	w.Outbox.Audits = append(w.Outbox.Audits, carobaudit.Audit{
		Component: "routes", Who: from, What: "route table",
		From: strconv.FormatUint(uint64(w.RoutesVersion()), 10), To: strconv.FormatUint(uint64(table.Version), 10),
		Inputs: []carobinput.Input{
			carobinput.Age("confirmedms", now, w.RoutesConfirmedAt), carobinput.Age("readms", now, w.RoutesReadAt),
		},
	})
}
