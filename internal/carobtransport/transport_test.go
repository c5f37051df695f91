package carobtransport

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobcodec"
)

// payload is the message of BenchmarkTransport.
type payload struct {
	Data []byte `json:"data"`
}

// BenchmarkTransport compares the two protocols between nodes: unary Connect calls
// with CBOR over unencrypted HTTP/2, and HTTP/1.1 by fasthttp. 1 or 16 callers send
// 512 bytes each, which the server echoes.
func BenchmarkTransport(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 512)
	for _, transport := range []struct {
		name string
		open func(b *testing.B, body []byte) func() error
	}{{"connect", openConnect}, {"fasthttp", openFasthttp}} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/%d", transport.name, callers), func(b *testing.B) {
				measure(b, callers, transport.open(b, body))
			})
		}
	}
}

// measure makes b.N calls from concurrent callers and reports quantiles of their
// duration.
func measure(b *testing.B, callers int, call func() error) {
	b.Helper()
	for range callers {
		require.NoError(b, call())
	}
	durations := make([]time.Duration, b.N)
	indexes := make(chan int, b.N)
	for i := range b.N {
		indexes <- i
	}
	close(indexes)
	var workers sync.WaitGroup
	b.ResetTimer()
	for range callers {
		workers.Go(func() {
			for i := range indexes {
				start := time.Now() //nolint:forbidigo // a benchmark measures wall-clock time
				if call() != nil {
					b.Fail()
				}
				durations[i] = time.Since(start) //nolint:forbidigo // a benchmark measures wall-clock time
			}
		})
	}
	workers.Wait()
	b.StopTimer()
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return listener
}

// openConnect starts a Connect server and returns a function that makes one call.
func openConnect(b *testing.B, body []byte) func() error {
	b.Helper()
	codec, err := carobcodec.NewCodec()
	require.NoError(b, err)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle("/echo", connect.NewUnaryHandler("/echo", func(_ context.Context, req *connect.Request[payload]) (*connect.Response[payload], error) {
		return connect.NewResponse(req.Msg), nil
	}, connect.WithCodec(codec)))
	listener := listen(b)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	client := connect.NewClient[payload, payload](&http.Client{Transport: &http.Transport{Protocols: protocols}},
		"http://"+listener.Addr().String()+"/echo", connect.WithCodec(codec))
	return func() error {
		_, err := client.CallUnary(context.Background(), connect.NewRequest(&payload{Data: body}))
		return err
	}
}

// openFasthttp starts a fasthttp server and returns a function that makes one call.
func openFasthttp(b *testing.B, body []byte) func() error {
	b.Helper()
	listener := listen(b)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	client := &fasthttp.HostClient{Addr: listener.Addr().String(), MaxConns: 64}
	return func() error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + listener.Addr().String() + "/echo")
		req.SetBody(body)
		return client.Do(req, resp)
	}
}
