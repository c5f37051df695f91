package caroblogclient_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against records and acknowledgements that are taken from a response whose head breaks the grammar of HTTP/1.1, or whose status does not exist.
func TestMalformedHeadsOfTheLogAreErrors(t *testing.T) {
	const body = `{"offset":7,"records":[],"next":7}`
	for name, response := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n\r\n" + body,
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n" + body,
		"blank behind a name":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n" + body,
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, response)
				_ = conn.(*net.TCPConn).Close()
			}))
			t.Cleanup(server.Close)
			client := caroblogclient.NewLogClient(caroblogclient.Config{URL: server.URL, Timeout: 5 * time.Second})
			_, err := client.Append(t.Context(), "claims", []byte("{}"))
			require.Equal(t, carobkind.AppendUncertain, carobkind.Of(err))
			_, err = client.Read(t.Context(), "claims", 0, 0)
			require.Error(t, err)
		})
	}
}
