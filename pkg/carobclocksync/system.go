// Package carobclocksync keeps bounds of the clocks of other nodes, so that this node can send
// them instants on their own clocks (carobclockbound). Clocks are not adjusted.
package carobclocksync

import (
	"github.com/carobknot/carobknot/pkg/carobclockbound"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System records the clock readings that messages carry and answers requests for them. It has no
// state of its own.
type System struct{}

// NewSystem returns a System.
func NewSystem() *System {
	return &System{}
}

// Run records the readings of the messages that have arrived. It has to run before the systems
// that send instants to other nodes.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		record(world, now, message)
		if message.ClockRequest || isForEarlierIncarnation(world, message) {
			world.SendMessage(carobmessage.Message{To: message.ReplyTo})
		}
	}
}

// record updates the bound of the sender's clock.
func record(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	if message.Clock == carobinstant.Never {
		return
	}
	var bound carobclockbound.ClockBound
	if known, ok := world.ClockBounds.Get(message.ReplyTo); ok {
		bound = known
	}
	bound.Update(message.Incarnation, message.Clock, now)
	world.ClockBounds.Put(message.ReplyTo, bound)
}

// isForEarlierIncarnation reports whether the sender does not know yet that this node has
// restarted, and so sends instants on a clock that no longer exists.
func isForEarlierIncarnation(world *carobworld.World, message *carobmessage.Message) bool {
	return message.Confirmation != nil && message.Confirmation.Clock != world.Self.Incarnation
}
