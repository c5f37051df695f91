// Package carobcatchup transfers profile records between nodes, so that a change
// that one node has read reaches all nodes even if the log fails afterwards.
//
// The heartbeats of a node carry the offset up to which it has read. A node that has
// read less fetches the records that it lacks, by offset, and receives them in
// order and without gaps, or a snapshot that covers them.
package carobcatchup

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecordfetch"
	"github.com/carobknot/carobknot/pkg/carobrecordfetchreply"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// fetchTimeout is how long a fetch may stay unanswered before the next fetch is
// sent, to the node whose next message shows that it has read more.
const fetchTimeout = 300 * time.Millisecond

// System fetches records from other nodes and answers their fetches.
type System struct {
	// fetchDeadline is when the outstanding fetch counts as lost; Never if there is
	// none.
	fetchDeadline carobinstant.Instant
}

// NewSystem returns a system without an outstanding fetch.
func NewSystem() *System {
	return &System{}
}

// Run answers the fetches of other nodes and fetches records that this node lacks.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		switch {
		case message.RecordFetch != nil:
			sendRecords(world, message)
		case message.RecordFetchReply != nil:
			s.fetchDeadline = carobinstant.Never
			s.fetch(world, now, message, message.RecordFetchReply.ProfilesRead)
		case message.Heartbeat != nil:
			s.fetch(world, now, message, message.Heartbeat.ProfilesRead)
		}
	}
}

// fetch requests the next records from the sender of a message, if the sender has
// read further than this node and no fetch is outstanding. read is the offset up to
// which the sender has read.
func (s *System) fetch(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message, read caroboffset.Offset) {
	if read <= world.ProfilesRead {
		return
	}
	if s.fetchDeadline != carobinstant.Never && !s.fetchDeadline.Reached(now) {
		return
	}
	s.fetchDeadline = now.Add(fetchTimeout)
	world.SendMessage(carobmessage.Message{To: message.ReplyTo, RecordFetch: &carobrecordfetch.RecordFetch{From: world.ProfilesRead + 1}})
}

// sendRecords answers a fetch with records, or with a snapshot if this node no
// longer has one of the records. It does not answer if it has read none of them.
func sendRecords(world *carobworld.World, message *carobmessage.Message) {
	if message.RecordFetch.From > world.ProfilesRead {
		return
	}
	reply := &carobrecordfetchreply.RecordFetchReply{ProfilesRead: world.ProfilesRead}
	for offset := message.RecordFetch.From; offset <= world.ProfilesRead && len(reply.Records) < carobrecordfetchreply.MaxRecords; offset++ {
		record := world.RecentChanges.Get(offset)
		if record == nil {
			reply.Records, reply.Snapshot = nil, takeSnapshot(world)
			break
		}
		reply.Records = append(reply.Records, *record)
	}
	world.SendMessage(carobmessage.Message{To: message.ReplyTo, RecordFetchReply: reply})
}

// takeSnapshot returns a pointer to a snapshot of the profiles in force.
func takeSnapshot(world *carobworld.World) *carobsnapshot.Snapshot {
	snapshot := world.TakeSnapshot()
	return &snapshot
}
