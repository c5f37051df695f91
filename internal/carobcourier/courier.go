// Package carobcourier carries control messages between nodes.
package carobcourier

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// longest is the most bytes of one request.
	longest = 4 << 20
)

// Config is how a courier is made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Codec   *carobcodec.Codec
}

// Courier sends and takes control messages.
type Courier struct {
	config Config
	client *http.Client
	server *http.Server
	mutex  sync.Mutex
	// clients has a client for each address that was spoken to.
	clients map[carobaddress.Address]*connect.Client[carobbatch.Batch, empty]
}

// empty answers requests.
type empty struct{}

// NewCourier returns a courier that does not listen yet.
func NewCourier(c Config) *Courier {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	http2 := &http.HTTP2Config{SendPingTimeout: silence, PingTimeout: silence}
	r := &Courier{
		config:  c,
		client:  &http.Client{Transport: &http.Transport{Protocols: protocols, HTTP2: http2}},
		clients: map[carobaddress.Address]*connect.Client[carobbatch.Batch, empty]{},
	}
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, r.take,
		connect.WithCodec(c.Codec), connect.WithReadMaxBytes(longest)))
	r.server = &http.Server{Handler: mux, Protocols: protocols, HTTP2: http2, ReadHeaderTimeout: patience}
	return r
}

// Serve takes messages until Shutdown.
func (r *Courier) Serve(ls net.Listener) error {
	return r.server.Serve(ls)
}

// Shutdown stops taking messages and closes all connections.
func (r *Courier) Shutdown(cx context.Context) error {
	r.client.CloseIdleConnections()
	return r.server.Shutdown(cx)
}

// Carry sends the messages of a tick, those to one address together.
func (r *Courier) Carry(out *caroboutbox.Outbox) {
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
		go r.send(ad, bt)
	}
}

// send tells one node. Messages may get lost; the systems that send them say
// them again where that matters.
func (r *Courier) send(ad carobaddress.Address, bt *carobbatch.Batch) {
	cx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, _ = r.clientOf(ad).CallUnary(cx, connect.NewRequest(bt))
}

func (r *Courier) clientOf(ad carobaddress.Address) *connect.Client[carobbatch.Batch, empty] {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	cl, ok := r.clients[ad]
	if !ok {
		cl = connect.NewClient[carobbatch.Batch, empty](r.client, "http://"+string(ad)+procedure, connect.WithCodec(r.config.Codec))
		r.clients[ad] = cl
	}
	return cl
}

func (r *Courier) take(_ context.Context, rq *connect.Request[carobbatch.Batch]) (*connect.Response[empty], error) {
	r.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		in.Messages = append(in.Messages, rq.Msg.Messages...)
	})
	return connect.NewResponse(&empty{}), nil
}
