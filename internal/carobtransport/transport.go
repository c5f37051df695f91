// Package carobtransport carries control messages between nodes.
package carobtransport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/carobknot/carobknot/internal/carobbatch"
	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
)

const (
	procedure = "/carobknot.v1.Peer/Tell"
	// patience is how long a request may take.
	patience = 2 * time.Second
	// silence is how long a connection may be quiet before it is checked.
	silence = time.Second
	// inFlight is the most requests on their way to one node.
	inFlight = 64
	// idle is how long a connection is kept that carries nothing.
	idle = 30 * time.Second
	// spoken is the most addresses that are remembered.
	spoken = 4096
	// longest is the most bytes of one request.
	longest = 4 << 20
)

// Config is how a transport is made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Codec   *carobcodec.Codec
}

// Transport sends and takes control messages.
type Transport struct {
	config Config
	client *http.Client
	server *http.Server
	mutex  sync.Mutex
	// flying has how many requests are on their way to each address.
	flying map[carobaddress.Address]int
	// sends is done when no request is on its way.
	sends sync.WaitGroup
	// dropped counts messages that were not sent, since too many were on their way
	// to a node; broken counts those that came and break their own rules.
	dropped, broken atomic.Uint64
	// clients has a client for each address that was spoken to.
	clients map[carobaddress.Address]*connect.Client[carobbatch.Batch, empty]
}

// empty answers requests.
type empty struct{}

// NewTransport returns a transport that does not listen yet.
func NewTransport(c Config) *Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	http2 := &http.HTTP2Config{SendPingTimeout: silence, PingTimeout: silence}
	r := &Transport{
		config:  c,
		client:  &http.Client{Transport: &http.Transport{Protocols: protocols, HTTP2: http2, IdleConnTimeout: idle}},
		flying:  map[carobaddress.Address]int{},
		clients: map[carobaddress.Address]*connect.Client[carobbatch.Batch, empty]{},
	}
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, r.take,
		connect.WithCodec(c.Codec), connect.WithReadMaxBytes(longest)))
	r.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: patience, IdleTimeout: 2 * idle}
	return r
}

// Serve takes messages until Shutdown.
func (r *Transport) Serve(ls net.Listener) error {
	return r.server.Serve(ls)
}

// Dropped returns how many messages were not sent.
func (r *Transport) Dropped() uint64 { return r.dropped.Load() }

// Broken returns how many messages were refused that came.
func (r *Transport) Broken() uint64 { return r.broken.Load() + r.config.Codec.Broken() }

// Shutdown waits until what was to be sent is sent, stops taking messages and
// closes all connections.
func (r *Transport) Shutdown(cx context.Context) error {
	sent := make(chan struct{})
	go func() {
		r.sends.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-cx.Done():
	}
	r.client.CloseIdleConnections()
	return r.server.Shutdown(cx)
}

// Carry sends the messages of a tick, those to one address together.
func (r *Transport) Carry(out *caroboutbox.Outbox) {
	if len(out.Messages) == 0 {
		return
	}
	batches := map[carobaddress.Address]*carobbatch.Batch{}
	for _, ms := range out.Messages {
		bt, ok := batches[ms.To]
		if !ok {
			bt = &carobbatch.Batch{}
			batches[ms.To] = bt
		}
		bt.Messages = append(bt.Messages, ms)
	}
	for ad, bt := range batches {
		if !r.enter(ad) {
			r.dropped.Add(uint64(len(bt.Messages)))
			continue
		}
		go r.send(ad, bt)
	}
}

// enter counts a request to an address, unless there are too many on their way.
func (r *Transport) enter(ad carobaddress.Address) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.flying[ad] >= inFlight {
		return false
	}
	r.flying[ad]++
	r.sends.Add(1)
	return true
}

func (r *Transport) leave(ad carobaddress.Address) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.flying[ad]--
	if r.flying[ad] == 0 {
		delete(r.flying, ad)
	}
	r.sends.Done()
}

// send tells one node. Messages may get lost; the systems that send them say
// them again where that matters.
func (r *Transport) send(ad carobaddress.Address, bt *carobbatch.Batch) {
	defer r.leave(ad)
	cx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, _ = r.clientOf(ad).CallUnary(cx, connect.NewRequest(bt))
}

func (r *Transport) clientOf(ad carobaddress.Address) *connect.Client[carobbatch.Batch, empty] {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cl, ok := r.clients[ad]
	if !ok {
		if len(r.clients) >= spoken {
			clear(r.clients)
		}
		cl = connect.NewClient[carobbatch.Batch, empty](r.client, "http://"+string(ad)+procedure, connect.WithCodec(r.config.Codec))
		r.clients[ad] = cl
	}
	return cl
}

// take passes on the messages of a request that keep their own rules.
func (r *Transport) take(_ context.Context, rq *connect.Request[carobbatch.Batch]) (*connect.Response[empty], error) {
	good := rq.Msg.Messages[:0]
	for i := range rq.Msg.Messages {
		if rq.Msg.Messages[i].Check() != nil {
			r.broken.Add(1)
			continue
		}
		good = append(good, rq.Msg.Messages[i])
	}
	if len(good) > 0 {
		r.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, good...) })
	}
	return connect.NewResponse(&empty{}), nil
}
