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

// counted counts the bytes of its connections, both ways.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

func (c counted) Accept() (net.Conn, error) {
	cn, err := c.Listener.Accept()
	return countedConn{Conn: cn, bytes: c.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// What the budget of measuring takes for a message is more than the message and
// its answer cost on the wire, both ways together.
func TestMeasuringCostsLessThanItsPrice(t *testing.T) {
	codec, err := carobcodec.NewCodec()
	require.NoError(t, err)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var bytes atomic.Int64
	mailbox := carobmailbox.NewMailbox()
	r := NewTransport(Config{Mailbox: mailbox, Codec: codec})
	go func() { _ = r.Serve(counted{Listener: ls, bytes: &bytes}) }()
	t.Cleanup(func() { require.NoError(t, r.Shutdown(context.Background())) })

	target := carobtargetid.ID{Service: "declarations", Name: "target-17"}
	w := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{
		Node: "node-in-a-data-centre-17", PeerAddress: "192.168.100.100:65535", Incarnation: 1 << 60,
	}})
	const messages = 40
	for i := range messages {
		ms := carobmessage.Message{
			To: carobaddress.Address(ls.Addr().String()), From: w.Self.Node, Incarnation: w.Self.Incarnation, ReplyTo: w.Self.PeerAddress,
		}
		if i%2 == 0 {
			ms.LoadProbe = &carobloadprobe.LoadProbe{Target: target}
		} else {
			ms.Report = &carobreport.Report{Target: target, Running: 1 << 20, Queued: 1 << 20, Slots: 1 << 20, Latency: 1<<62 + 1}
		}
		r.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{ms}})
		ok := mailbox.Await(t.Context())
		in := mailbox.Take()
		require.True(t, ok)
		require.Len(t, in.Messages, 1)
	}
	require.Less(t, float64(bytes.Load()), messages*carobprobing.MessageBytes(w, target))
	t.Logf("%d bytes a message, priced at %.0f", bytes.Load()/messages, carobprobing.MessageBytes(w, target))
}
