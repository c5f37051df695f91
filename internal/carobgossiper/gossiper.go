// Package carobgossiper carries control messages between nodes.
package carobgossiper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
)

const (
	procedureGossip = "/carobknot.v1.Peer/Gossip"
	// patience is how long a control message may take.
	patience = 2 * time.Second
	// silence is how long a connection may be quiet before it is checked.
	silence = time.Second
	// longest is the most bytes of one control message.
	longest = 4 << 20
)

// Config is how a gossiper is made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Codec   *carobcodec.Codec
}

// Gossiper sends and takes control messages.
type Gossiper struct {
	config Config
	client *http.Client
	server *http.Server
	mutex  sync.Mutex
	// gossips has a client for each address that was spoken to.
	gossips map[carobaddress.Address]*connect.Client[carobgossip.Gossip, empty]
}

// empty answers messages that need no answer.
type empty struct{}

// NewGossiper returns a gossiper that does not listen yet.
func NewGossiper(c Config) *Gossiper {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	http2 := &http.HTTP2Config{SendPingTimeout: silence, PingTimeout: silence}
	g := &Gossiper{
		config:  c,
		client:  &http.Client{Transport: &http.Transport{Protocols: protocols, HTTP2: http2}},
		gossips: map[carobaddress.Address]*connect.Client[carobgossip.Gossip, empty]{},
	}
	mux := http.NewServeMux()
	mux.Handle(procedureGossip, connect.NewUnaryHandler(procedureGossip, g.gossip,
		connect.WithCodec(c.Codec), connect.WithReadMaxBytes(longest)))
	g.server = &http.Server{Handler: mux, Protocols: protocols, HTTP2: http2, ReadHeaderTimeout: patience}
	return g
}

// Serve answers control messages until Shutdown.
func (g *Gossiper) Serve(ls net.Listener) error {
	return g.server.Serve(ls)
}

// Shutdown stops answering and closes all connections.
func (g *Gossiper) Shutdown(cx context.Context) error {
	g.client.CloseIdleConnections()
	return g.server.Shutdown(cx)
}

// Carry sends the messages that the control goroutine ordered.
func (g *Gossiper) Carry(out *caroboutbox.Outbox) {
	for _, gs := range out.Gossips {
		go g.send(gs)
	}
}

// send tells one node. A message that gets lost is made up for by a later one.
func (g *Gossiper) send(gs carobgossip.Gossip) {
	cx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, _ = g.clientOf(gs.To).CallUnary(cx, connect.NewRequest(&gs))
}

func (g *Gossiper) clientOf(ad carobaddress.Address) *connect.Client[carobgossip.Gossip, empty] {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	cl, ok := g.gossips[ad]
	if !ok {
		cl = connect.NewClient[carobgossip.Gossip, empty](g.client, "http://"+string(ad)+procedureGossip, connect.WithCodec(g.config.Codec))
		g.gossips[ad] = cl
	}
	return cl
}

func (g *Gossiper) gossip(_ context.Context, rq *connect.Request[carobgossip.Gossip]) (*connect.Response[empty], error) {
	g.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Gossips = append(in.Gossips, *rq.Msg) })
	return connect.NewResponse(&empty{}), nil
}
