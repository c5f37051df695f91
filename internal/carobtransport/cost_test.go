package carobtransport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobloadprobe"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobprobing"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{Conn: conn, bytes: c.bytes}, err
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// TestLoadMessageTakesFewerBytesThanCharged guards against probes and reports that exceed
// the byte limit of probing. That happens if a message and its response take more bytes
// on the wire, in both directions together, than the limiter charges for the message.
func TestLoadMessageTakesFewerBytesThanCharged(t *testing.T) {
	codec, err := carobcodec.NewCodec()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var bytes atomic.Int64
	mailbox := carobmailbox.NewMailbox()
	transport := NewTransport(Config{Mailbox: mailbox, Codec: codec})
	go func() { _ = transport.Serve(countingListener{Listener: listener, bytes: &bytes}) }()
	t.Cleanup(func() { require.NoError(t, transport.Shutdown(context.Background())) })

	target := carobtargetid.ID{Service: "declarations", Name: "target-17"}
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{
		Node: "node-in-a-data-centre-17", PeerAddress: "192.168.100.100:65535", Incarnation: 1 << 60,
	}})
	const messages = 40
	for i := range messages {
		message := carobmessage.Message{
			To: carobaddress.Address(listener.Addr().String()), From: world.Self.Node, Incarnation: world.Self.Incarnation, ReplyTo: world.Self.PeerAddress,
		}
		if i%2 == 0 {
			message.LoadProbe = &carobloadprobe.LoadProbe{Target: target}
		} else {
			message.Report = &carobreport.Report{Target: target, Running: 1 << 20, Queued: 1 << 20, Slots: 1 << 20, Latency: 1<<62 + 1}
		}
		transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{message}})
		ok := mailbox.AwaitTick(t.Context())
		inbox := mailbox.TakeAll()
		require.True(t, ok)
		require.Len(t, inbox.Messages, 1)
	}
	require.Less(t, float64(bytes.Load()), messages*carobprobing.MessageBytes(world, target))
	t.Logf("%d bytes a message, charged as %.0f", bytes.Load()/messages, carobprobing.MessageBytes(world, target))
}
