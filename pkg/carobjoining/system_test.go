package carobjoining

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

func member(name, peer string) carobmember.Member {
	var mb carobmember.Member
	text := `{"node": "` + name + `", "incarnation": 1, "region": "bavaria", "centre": "west", "peer": "` + peer + `"}`
	if err := json.Unmarshal([]byte(text), &mb); err != nil {
		panic(err)
	}
	return mb
}

// A node that already has peers must still contact, within seconds, a node that the log
// names. Otherwise two groups of nodes that have dropped each other stay separate.
func TestNodeNamedInLogIsContactedWithinSeconds(t *testing.T) {
	world := carobworld.NewWorld(carobworld.Config{Self: member("self", "127.0.0.1:1"), Limits: caroblimits.NewLimits()})
	world.Peers.Put("friend", carobpeer.Peer{Member: member("friend", "127.0.0.1:2")})
	s, now := NewSystem(Config{}), carobinstant.Instant(time.Hour)
	world.BeginTick(carobinbox.Inbox{})
	s.Run(world, now)
	data, err := json.Marshal(member("other", "127.0.0.1:3"))
	require.NoError(t, err)
	world.BeginTick(carobinbox.Inbox{Records: []carobrecord.Record{{Stream: carobstream.Nodes, Data: data}}})
	s.Run(world, now.Add(time.Millisecond))
	world.BeginTick(carobinbox.Inbox{})
	s.Run(world, now.Add(3*time.Second))
	require.NotEmpty(t, world.Outbox.Messages)
	require.EqualValues(t, "127.0.0.1:3", world.Outbox.Messages[0].To)
}
