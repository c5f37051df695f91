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

// payload is the message of the transport benchmark.
type payload struct {
	Data []byte `json:"data"`
}

// BenchmarkTransport compares the two ways between nodes: unary connect with
// CBOR on h2c, and HTTP/1.1 by fasthttp; an echo of 512 bytes, from 1 and from
// 16 callers.
func BenchmarkTransport(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 512)
	for _, transport := range []struct {
		name string
		open func(b *testing.B, body []byte) func() error
	}{{"connect", openConnect}, {"fasthttp", openFasthttp}} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/%d", transport.name, callers), func(b *testing.B) {
				share(b, callers, transport.open(b, body))
			})
		}
	}
}

// share has callers make b.N calls together and reports quantiles.
func share(b *testing.B, callers int, call func() error) {
	b.Helper()
	for range callers {
		require.NoError(b, call())
	}
	times := make([]time.Duration, b.N)
	places := make(chan int, b.N)
	for i := range b.N {
		places <- i
	}
	close(places)
	var running sync.WaitGroup
	b.ResetTimer()
	for range callers {
		running.Go(func() {
			for i := range places {
				start := time.Now() //nolint:forbidigo // a benchmark measures wall-clock time
				if call() != nil {
					b.Fail()
				}
				times[i] = time.Since(start) //nolint:forbidigo // a benchmark measures wall-clock time
			}
		})
	}
	running.Wait()
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return ls
}

func openConnect(b *testing.B, body []byte) func() error {
	b.Helper()
	codec, err := carobcodec.NewCodec()
	require.NoError(b, err)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle("/echo", connect.NewUnaryHandler("/echo", func(_ context.Context, rq *connect.Request[payload]) (*connect.Response[payload], error) {
		return connect.NewResponse(rq.Msg), nil
	}, connect.WithCodec(codec)))
	ls := listen(b)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ls) }()
	b.Cleanup(func() { _ = server.Close() })
	client := connect.NewClient[payload, payload](&http.Client{Transport: &http.Transport{Protocols: protocols}},
		"http://"+ls.Addr().String()+"/echo", connect.WithCodec(codec))
	return func() error {
		_, err := client.CallUnary(context.Background(), connect.NewRequest(&payload{Data: body}))
		return err
	}
}

func openFasthttp(b *testing.B, body []byte) func() error {
	b.Helper()
	ls := listen(b)
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { rc.SetBody(rc.PostBody()) }}
	go func() { _ = server.Serve(ls) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	client := &fasthttp.HostClient{Addr: ls.Addr().String(), MaxConns: 64}
	return func() error {
		rq, rs := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(rq)
		defer fasthttp.ReleaseResponse(rs)
		rq.Header.SetMethod(fasthttp.MethodPost)
		rq.SetRequestURI("http://" + ls.Addr().String() + "/echo")
		rq.SetBody(body)
		return client.Do(rq, rs)
	}
}
