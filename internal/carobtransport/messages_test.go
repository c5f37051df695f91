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
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobrecordfetch"
)

// endpoint is a transport that listens, with its mailbox and address.
type endpoint struct {
	transport *carobtransport.Transport
	mailbox   *carobmailbox.Mailbox
	address   carobaddress.Address
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	codec, err := carobcodec.NewCodec()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mailbox := carobmailbox.NewMailbox()
	e := &endpoint{mailbox: mailbox, address: carobaddress.Address(listener.Addr().String())}
	e.transport = carobtransport.NewTransport(carobtransport.Config{Mailbox: mailbox, Codec: codec})
	go func() { _ = e.transport.Serve(listener) }()
	t.Cleanup(func() { _ = e.transport.Shutdown(context.Background()) })
	return e
}

// fetch returns a valid message.
func fetch(from *endpoint, to carobaddress.Address) carobmessage.Message {
	return carobmessage.Message{To: to, From: "first", ReplyTo: from.address, RecordFetch: &carobrecordfetch.RecordFetch{From: 3}}
}

// take waits for messages and returns them.
func (e *endpoint) take(t *testing.T) []carobmessage.Message {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ok := e.mailbox.AwaitTick(ctx)
	inbox := e.mailbox.TakeAll()
	require.True(t, ok)
	return inbox.Messages
}

// TestMessagesArrive checks that the messages of a tick to one node arrive together
// and unchanged.
func TestMessagesArrive(t *testing.T) {
	sender, receiver := newEndpoint(t), newEndpoint(t)
	sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(sender, receiver.address), fetch(sender, receiver.address)}})
	got := receiver.take(t)
	require.Len(t, got, 2)
	require.EqualValues(t, 3, got[0].RecordFetch.From)
	require.Equal(t, sender.address, got[0].ReplyTo)
}

// TestShutdownSendsPendingMessages guards against losing the last messages of a node
// that shuts down, such as its announcement that it leaves.
func TestShutdownSendsPendingMessages(t *testing.T) {
	sender, receiver := newEndpoint(t), newEndpoint(t)
	sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(sender, receiver.address)}})
	require.NoError(t, sender.transport.Shutdown(t.Context()))
	require.Len(t, receiver.take(t), 1)
}

// TestInvalidMessagesAreRejected guards against an invalid message that reaches the
// control goroutine. The valid messages of the same request must still be received.
func TestInvalidMessagesAreRejected(t *testing.T) {
	sender, receiver := newEndpoint(t), newEndpoint(t)
	invalid := fetch(sender, receiver.address)
	invalid.RecordFetch = &carobrecordfetch.RecordFetch{From: -1}
	withoutReplyAddress := fetch(sender, receiver.address)
	withoutReplyAddress.ReplyTo = ""
	tooManyMembers := fetch(sender, receiver.address)
	tooManyMembers.Gossip = &carobgossip.Gossip{Members: make([]carobmember.Member, carobgossip.MaxMembers+1)}
	sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{invalid, fetch(sender, receiver.address)}})
	require.Len(t, receiver.take(t), 1, "the valid message is received")
	require.EqualValues(t, 1, receiver.transport.Rejected())
	sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{tooManyMembers}})
	sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{withoutReplyAddress, fetch(sender, receiver.address)}})
	require.Eventually(t, func() bool { return receiver.transport.Rejected() == 3 }, 10*time.Second, time.Millisecond)
}

// TestUndecodableRequestIsRejected checks that a request that cannot be decoded as a
// batch gets status 400 and is counted.
func TestUndecodableRequestIsRejected(t *testing.T) {
	e := newEndpoint(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	for _, data := range [][]byte{{0xff}, bytes.Repeat([]byte{0x81}, 1000), []byte("hello"), {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		req, err := http.NewRequest(http.MethodPost, "http://"+string(e.address)+"/carobknot.v1.Peer/Tell", bytes.NewReader(data))
		require.NoError(t, err)
		req.Header.Set("Content-Type", "application/cbor")
		resp, err := client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
	require.EqualValues(t, 4, e.transport.Rejected())
}

// TestUnresponsiveNodeHasLimitedRequests guards against goroutines and connections that
// pile up for a node that accepts connections but does not answer.
func TestUnresponsiveNodeHasLimitedRequests(t *testing.T) {
	sender := newEndpoint(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	silent := carobaddress.Address(listener.Addr().String())
	for range 100 {
		sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(sender, silent)}})
	}
	require.EqualValues(t, 100-64, sender.transport.Dropped())
}

// FuzzUnmarshal checks that no input makes the codec panic, and that a decoded batch
// with a valid message can be encoded again.
func FuzzUnmarshal(f *testing.F) {
	codec, err := carobcodec.NewCodec()
	require.NoError(f, err)
	encoded, err := codec.Marshal(&carobbatch.Batch{Messages: []carobmessage.Message{{From: "first", ReplyTo: "127.0.0.1:1", RecordFetch: &carobrecordfetch.RecordFetch{From: 1}}}})
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch carobbatch.Batch
		if codec.Unmarshal(data, &batch) != nil {
			return
		}
		for i := range batch.Messages {
			if batch.Messages[i].Check() != nil {
				continue
			}
			_, err := codec.Marshal(batch)
			require.NoError(t, err)
			return
		}
	})
}

// TestMessagesAreDroppedFromShutdownOn guards against a request that starts while Shutdown
// waits for the others, which it may miss: the control goroutine still sends then.
func TestMessagesAreDroppedFromShutdownOn(t *testing.T) {
	sender, receiver := newEndpoint(t), newEndpoint(t)
	out := &caroboutbox.Outbox{Messages: []carobmessage.Message{fetch(sender, receiver.address)}}
	started, stop, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		sender.transport.Execute(out)
		close(started)
		for {
			select {
			case <-stop:
				return
			default:
				sender.transport.Execute(out)
			}
		}
	}()
	<-started
	require.NoError(t, sender.transport.Shutdown(t.Context()))
	close(stop)
	<-stopped
	before := sender.transport.Dropped()
	sender.transport.Execute(out)
	require.Equal(t, before+1, sender.transport.Dropped())
}

// TestSilentConnectionIsReplaced guards against a connection that has gone silent without a
// reset and is used for all later messages: nothing else checks it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	sender, receiver := newEndpoint(t), newEndpoint(t)
	proxy := newSilentProxy(t, string(receiver.address))
	message := fetch(sender, proxy.address())
	sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{message}})
	require.Len(t, receiver.take(t), 1)
	proxy.silence()
	require.Eventually(t, func() bool {
		sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{message}})
		return proxy.opened.Load() > 1
	}, 10*time.Second, 100*time.Millisecond, "a second connection is opened")
	require.NotEmpty(t, receiver.take(t))
}

// TestIdleConnectionCarriesNoPings guards against traffic on connections that carry no
// messages. Each node of a large cluster has connections to many others.
func TestIdleConnectionCarriesNoPings(t *testing.T) {
	sender, receiver := newEndpoint(t), newEndpoint(t)
	proxy := newSilentProxy(t, string(receiver.address))
	message := fetch(sender, proxy.address())
	for range 2 {
		sender.transport.Execute(&caroboutbox.Outbox{Messages: []carobmessage.Message{message}})
		require.Len(t, receiver.take(t), 1)
	}
	const interval, quiet = 100 * time.Millisecond, 30
	var forwarded int64
	unchanged := 0
	require.Eventually(t, func() bool {
		unchanged++
		if now := proxy.forwarded.Load(); now != forwarded {
			forwarded, unchanged = now, 0
		}
		return unchanged == quiet
	}, 15*time.Second, interval, "nothing is sent for 3 s")
}

// TestMessagesAreNotCompressed guards against a compressor for each response, most of which
// are shorter than a gzip header.
func TestMessagesAreNotCompressed(t *testing.T) {
	e := newEndpoint(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, DisableCompression: true}}
	codec, err := carobcodec.NewCodec()
	require.NoError(t, err)
	data, err := codec.Marshal(&carobbatch.Batch{Messages: []carobmessage.Message{fetch(e, e.address)}})
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+string(e.address)+"/carobknot.v1.Peer/Tell", bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := client.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Empty(t, resp.Header.Get("Content-Encoding"))
}
