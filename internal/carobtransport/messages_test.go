package carobtransport_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbatch"
	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtransport"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobfetch"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
)

type end struct {
	transport *carobtransport.Transport
	mailbox   *carobmailbox.Mailbox
	address   carobaddress.Address
}

func newEnd(t *testing.T) *end {
	t.Helper()
	codec, err := carobcodec.NewCodec()
	require.NoError(t, err)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mailbox := carobmailbox.NewMailbox()
	e := &end{mailbox: mailbox, address: carobaddress.Address(ls.Addr().String())}
	e.transport = carobtransport.NewTransport(carobtransport.Config{Mailbox: mailbox, Codec: codec})
	go func() { _ = e.transport.Serve(ls) }()
	t.Cleanup(func() { _ = e.transport.Shutdown(context.Background()) })
	return e
}

func fetch(from *end, to carobaddress.Address) carobmessage.Message {
	return carobmessage.Message{To: to, From: "first", ReplyTo: from.address, Fetch: &carobfetch.Fetch{From: 3}}
}

func (e *end) take(t *testing.T) []carobmessage.Message {
	t.Helper()
	cx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ok := e.mailbox.Await(cx)
	in := e.mailbox.Take()
	require.True(t, ok)
	return in.Messages
}

func TestMessagesArrive(t *testing.T) {
	a, b := newEnd(t), newEnd(t)
	a.transport.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(a, b.address), fetch(a, b.address)}})
	got := b.take(t)
	require.Len(t, got, 2)
	require.EqualValues(t, 3, got[0].Fetch.From)
	require.Equal(t, a.address, got[0].ReplyTo)
}

func TestShutdownSendsWhatIsLeft(t *testing.T) {
	a, b := newEnd(t), newEnd(t)
	a.transport.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(a, b.address)}})
	require.NoError(t, a.transport.Shutdown(t.Context()))
	require.Len(t, b.take(t), 1)
}

func TestMessagesThatBreakTheirRulesAreDropped(t *testing.T) {
	a, b := newEnd(t), newEnd(t)
	bad := fetch(a, b.address)
	bad.Fetch = &carobfetch.Fetch{From: -1}
	unnamed := fetch(a, b.address)
	unnamed.ReplyTo = ""
	crowd := fetch(a, b.address)
	crowd.Gossip = &carobgossip.Gossip{Members: make([]carobmember.Member, carobgossip.MaxMembers+1)}
	a.transport.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{bad, fetch(a, b.address)}})
	require.Len(t, b.take(t), 1, "the good one gets through")
	require.EqualValues(t, 1, b.transport.Broken())
	a.transport.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{crowd}})
	a.transport.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{unnamed, fetch(a, b.address)}})
	require.Eventually(t, func() bool { return b.transport.Broken() == 3 }, 10*time.Second, time.Millisecond)
}

func TestGarbageIsRefused(t *testing.T) {
	e := newEnd(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	for _, garbage := range [][]byte{{0xff}, bytes.Repeat([]byte{0x81}, 1000), []byte("hello"), {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		rq, err := http.NewRequest(http.MethodPost, "http://"+string(e.address)+"/carobknot.v1.Peer/Tell", bytes.NewReader(garbage))
		require.NoError(t, err)
		rq.Header.Set("Content-Type", "application/cbor")
		rs, err := client.Do(rq)
		require.NoError(t, err)
		require.NoError(t, rs.Body.Close())
		require.Equal(t, http.StatusBadRequest, rs.StatusCode)
	}
	require.EqualValues(t, 4, e.transport.Broken())
}

// A node that does not answer costs a bounded number of requests on their way.
func TestSilentNodeCostsLittle(t *testing.T) {
	a := newEnd(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ls.Close() }()
	silent := carobaddress.Address(ls.Addr().String())
	for range 100 {
		a.transport.Carry(&caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(a, silent)}})
	}
	require.EqualValues(t, 100-64, a.transport.Dropped())
}

func FuzzUnmarshal(f *testing.F) {
	codec, err := carobcodec.NewCodec()
	require.NoError(f, err)
	seed, err := codec.Marshal(&carobbatch.Batch{Messages: []carobmessage.Message{{From: "first", ReplyTo: "127.0.0.1:1", Fetch: &carobfetch.Fetch{From: 1}}}})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var bt carobbatch.Batch
		if codec.Unmarshal(data, &bt) != nil {
			return
		}
		for i := range bt.Messages {
			if bt.Messages[i].Check() != nil {
				continue
			}
			_, err := codec.Marshal(bt)
			require.NoError(t, err)
			return
		}
	})
}
