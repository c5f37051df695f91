package carobserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// emptyHandler answers each request at once.
type emptyHandler struct{}

func (emptyHandler) Handle(pipelined *carobpipelinedrequest.PipelinedRequest) {
	pipelined.SendResponse(&fasthttp.Response{})
}

func (emptyHandler) Reject(resp *fasthttp.Response, err error) {
	resp.SetStatusCode(carobkind.Of(err).Status())
}

// BenchmarkRequest shows what a request on a kept connection costs, without a body and with
// one of 60 KB.
func BenchmarkRequest(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "60 KB": 60_000} {
		b.Run(name, func(b *testing.B) {
			config := carobserver.Config{
				Handler: emptyHandler{}, Timer: carobtimer.NewTimer(), MaxHeader: 16 * carobsize.KiB, MaxBody: 64 * carobsize.MiB,
				HeaderTimeout: 1 << 40, StallTimeout: 1 << 40, IdleTimeout: 1 << 40, MaxPipelined: 8,
			}
			limitMemory(&config)
			server := carobserver.NewServer(config)
			listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			require.NoError(b, err)
			go func() { _ = server.Serve(listener) }()
			defer server.Close(context.Background())
			conn, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", listener.Addr().String())
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			body := strings.Repeat("x", size)
			text := "POST /a/b HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 0123456789\r\nUser-Agent: bench\r\nAccept: */*\r\nContent-Length: " + fasthttpLength(size) + "\r\n\r\n" + body
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, text)
				require.NoError(b, err)
				var resp fasthttp.Response
				require.NoError(b, resp.Read(reader))
			}
		})
	}
}

func fasthttpLength(size int) string { return string(fasthttp.AppendUint(nil, size)) }
