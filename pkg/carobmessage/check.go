package carobmessage

import (
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// validator is message content that can validate itself.
type validator interface {
	Check() error
}

// Check returns an error of kind Invalid if the sender or the content is out of bounds.
func (m *Message) Check() error {
	if err := m.From.Check(); err != nil {
		return err
	}
	if err := m.ReplyTo.Check(); err != nil {
		return err
	}
	if len(m.Evacuations) > carobevacuation.MaxRows {
		return carobkind.New(carobkind.Invalid, "message: %d evacuations", len(m.Evacuations))
	}
	for i := range m.Evacuations {
		if err := m.Evacuations[i].Check(); err != nil {
			return err
		}
	}
	if m.Clock < 0 {
		return carobkind.New(carobkind.Invalid, "message: the clock reading is negative")
	}
	if m.Confirmation != nil {
		if err := m.Confirmation.Check(); err != nil {
			return err
		}
	}
	for _, c := range m.contents() {
		if err := c.Check(); err != nil {
			return err
		}
	}
	return nil
}

// contents returns the content that is set, if its type has a Check method. The content
// types of calls, claims and load probes have none.
func (m *Message) contents() []validator {
	var set []validator

	if m.Gossip != nil {
		set = append(set, m.Gossip)
	}
	if m.Heartbeat != nil {
		set = append(set, m.Heartbeat)
	}
	if m.Digest != nil {
		set = append(set, m.Digest)
	}
	if m.RecordFetch != nil {
		set = append(set, m.RecordFetch)
	}
	if m.RecordFetchReply != nil {
		set = append(set, m.RecordFetchReply)
	}
	if m.RouteTable != nil {
		set = append(set, m.RouteTable)
	}
	if m.QuotaRequest != nil {
		set = append(set, m.QuotaRequest)
	}
	if m.QuotaReply != nil {
		set = append(set, m.QuotaReply)
	}

	return set
}
