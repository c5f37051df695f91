// Package carobtransport sends and receives the control messages between nodes.
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
	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
)

const (
	procedure = "/carobknot.v1.Peer/Tell"
	// gzip is the compression that the library enables by default. It is disabled: most
	// messages are shorter than a gzip header, and a compressor takes hundreds of kilobytes.
	gzip = "gzip"
	// requestTimeout is the time-out of a request, and of reading the header of one.
	requestTimeout = 2 * time.Second
	// maxInFlight is the largest number of concurrent requests to one node.
	maxInFlight = 64
	// idleTimeout is how long the client keeps an idle connection; the server keeps it
	// twice as long. It is longer than the time between two heartbeats to one node.
	idleTimeout = 10 * time.Second
	// maxClients is the largest number of addresses for which a client is kept.
	maxClients = 4096
	// maxRequestSize is the size of the largest request that is accepted, in bytes.
	maxRequestSize = 4 << 20
	// maxResponseSize is the size of the largest body of a response, and of its header, in
	// bytes. Responses are empty.
	maxResponseSize = 16 << 10
)

// Config holds the parameters of a transport.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Codec   *carobcodec.Codec
	// ReceiveBudget bounds the bytes of requests that are being received; nil means no
	// limit. A request that exceeds it is rejected.
	ReceiveBudget *carobbytebudget.ByteBudget
}

// Transport sends and receives control messages.
type Transport struct {
	config Config
	client *http.Client
	server *http.Server
	mu     sync.Mutex
	// inFlight has the number of concurrent requests to each address.
	inFlight map[carobaddress.Address]int
	// pending counts the requests in flight. None is added once stopping is true.
	pending  sync.WaitGroup
	stopping bool
	// dropped counts the messages that were not sent because too many requests to their
	// node were in flight, or because of the shutdown; rejected counts the received messages that were rejected as
	// invalid.
	dropped, rejected atomic.Uint64
	// clients has a client for each address that messages were sent to.
	clients map[carobaddress.Address]*connect.Client[carobbatch.Batch, emptyResponse]
	// connections has the newest connection to each address, until it is closed.
	connections map[carobaddress.Address]net.Conn
}

// emptyResponse is the response to a request.
type emptyResponse struct{}

// NewTransport returns a transport that does not listen yet.
func NewTransport(c Config) *Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	t := &Transport{
		config:      c,
		inFlight:    map[carobaddress.Address]int{},
		clients:     map[carobaddress.Address]*connect.Client[carobbatch.Batch, emptyResponse]{},
		connections: map[carobaddress.Address]net.Conn{},
	}
	t.client = &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: t.dial, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxResponseSize}}
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, t.receive,
		connect.WithCodec(c.Codec), connect.WithReadMaxBytes(maxRequestSize), connect.WithCompression(gzip, nil, nil)))
	t.server = &http.Server{
		Handler: t.limitBodies(mux), Protocols: protocols, ReadHeaderTimeout: requestTimeout, ReadTimeout: 2 * requestTimeout, IdleTimeout: 2 * idleTimeout,
	}
	return t
}

// Serve receives messages until Shutdown.
func (t *Transport) Serve(listener net.Listener) error {
	return t.server.Serve(listener)
}

// Dropped returns how many messages were not sent because too many requests to their
// node were in flight, or because of the shutdown.
func (t *Transport) Dropped() uint64 { return t.dropped.Load() }

// Rejected returns how many received messages and requests were rejected because they
// were invalid or could not be decoded.
func (t *Transport) Rejected() uint64 { return t.rejected.Load() + t.config.Codec.DecodeErrors() }

// Shutdown waits until all messages have been sent, stops receiving messages and
// closes all connections. It stops waiting when ctx ends. Messages that come later are
// dropped.
func (t *Transport) Shutdown(ctx context.Context) error {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	sent := make(chan struct{})
	go func() {
		t.pending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-ctx.Done():
	}
	t.client.CloseIdleConnections()
	return t.server.Shutdown(ctx)
}

// Execute sends the messages of a tick, with one request for each address.
func (t *Transport) Execute(out *caroboutbox.Outbox) {
	if len(out.Messages) == 0 {
		return
	}
	batches := map[carobaddress.Address]*carobbatch.Batch{}
	for _, message := range out.Messages {
		batch, ok := batches[message.To]
		if !ok {
			batch = &carobbatch.Batch{}
			batches[message.To] = batch
		}
		batch.Messages = append(batch.Messages, message)
	}
	for address, batch := range batches {
		if !t.acquire(address) {
			t.dropped.Add(uint64(len(batch.Messages)))
			continue
		}
		go t.send(address, batch)
	}
}

// acquire counts a request to an address. It reports false if too many are in flight or the
// transport is shutting down.
func (t *Transport) acquire(address carobaddress.Address) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping || t.inFlight[address] >= maxInFlight {
		return false
	}
	t.inFlight[address]++
	t.pending.Add(1)
	return true
}

// release removes a request that has ended from the count.
func (t *Transport) release(address carobaddress.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[address]--
	if t.inFlight[address] == 0 {
		delete(t.inFlight, address)
	}
	t.pending.Done()
}

// send sends a batch to one node. It ignores errors: messages may get lost, and systems
// that need a message delivered repeat it. A connection on which a request gets no response
// in time is closed, since it may be silent; the next request opens another one. Connections
// are not checked while no request is sent, or each node would send pings on its connections
// to most others.
func (t *Transport) send(address carobaddress.Address, batch *carobbatch.Batch) {
	defer t.release(address)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	used := t.connection(address)
	_, err := t.clientFor(address).CallUnary(ctx, connect.NewRequest(batch))
	if err != nil && ctx.Err() != nil {
		t.closeSilent(address, used)
	}
}

// dial opens a connection and stores it as the newest one to its address.
func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, transport: t, address: carobaddress.Address(address)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections[tracked.address] = tracked
	return tracked, nil
}

// connection returns the newest connection to an address, or nil if there is none.
func (t *Transport) connection(address carobaddress.Address) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections[address]
}

// closeSilent closes the newest connection to an address, unless it was opened after the
// request that got no response began: used is the newest one at that time, or nil.
func (t *Transport) closeSilent(address carobaddress.Address, used net.Conn) {
	conn := t.connection(address)
	if conn != nil && (used == nil || conn == used) {
		_ = conn.Close()
	}
}

// trackedConn is a connection that removes itself from the transport's table when it is
// closed.
type trackedConn struct {
	net.Conn
	transport *Transport
	address   carobaddress.Address
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.transport.mu.Lock()
	if c.transport.connections[c.address] == net.Conn(c) {
		delete(c.transport.connections, c.address)
	}
	c.transport.mu.Unlock()
	return c.Conn.Close()
}

// clientFor returns the client for an address. When there are too many clients, all
// are dropped; they share their connections, which stay open.
func (t *Transport) clientFor(address carobaddress.Address) *connect.Client[carobbatch.Batch, emptyResponse] {
	t.mu.Lock()
	defer t.mu.Unlock()
	client, ok := t.clients[address]
	if !ok {
		if len(t.clients) >= maxClients {
			clear(t.clients)
		}
		client = connect.NewClient[carobbatch.Batch, emptyResponse](t.client, "http://"+string(address)+procedure,
			connect.WithCodec(t.config.Codec), connect.WithAcceptCompression(gzip, nil, nil), connect.WithReadMaxBytes(maxResponseSize))
		t.clients[address] = client
	}
	return client
}

// receive posts the valid messages of a request to the mailbox and counts the others.
func (t *Transport) receive(_ context.Context, req *connect.Request[carobbatch.Batch]) (*connect.Response[emptyResponse], error) {
	valid := req.Msg.Messages[:0]
	for i := range req.Msg.Messages {
		if req.Msg.Messages[i].Check() != nil {
			t.rejected.Add(1)
			continue
		}
		valid = append(valid, req.Msg.Messages[i])
	}
	if len(valid) > 0 {
		t.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, valid...) })
	}
	return connect.NewResponse(&emptyResponse{}), nil
}
