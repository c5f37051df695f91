package carobworld

import (
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobdecision"
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

// AuditRoutes records in the audit trail that a newer route table came from a source.
func (w *World) AuditRoutes(from string, table *carobroutetable.RouteTable) {
	w.Audit("routes", from, "route table",
		strconv.FormatUint(uint64(w.RoutesVersion()), 10), strconv.FormatUint(uint64(table.Version), 10))
}
