package carobcodec_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// Guards against keys that are unknown at a node which has the table from another node, and
// against keys that are sent in plain text.
func TestOrganisationsOfATableAreTransmitted(t *testing.T) {
	digest := carobkeydigest.Of([]byte("the-key"))
	table := &carobroutetable.RouteTable{Version: 7, RequiresKey: true, Organisations: []caroborganisation.Organisation{
		{ID: "clinic", Keys: []carobkeydigest.Digest{digest}, Priority: 2, Rate: 186.5, Burst: 40},
	}}
	require.NoError(t, table.Check())
	codec, err := carobcodec.NewCodec()
	require.NoError(t, err)
	data, err := codec.Marshal(carobmessage.Message{To: "127.0.0.1:1", ReplyTo: "127.0.0.1:2", From: "here", RouteTable: table})
	require.NoError(t, err)
	require.NotContains(t, string(data), "the-key")
	var received carobmessage.Message
	require.NoError(t, codec.Unmarshal(data, &received))
	require.NoError(t, received.RouteTable.Check())
	require.True(t, received.RouteTable.RequiresKey)
	require.Equal(t, table.Organisations, received.RouteTable.Organisations)
	require.NotNil(t, received.RouteTable.Organisation(digest))
}
