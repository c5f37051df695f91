package carobpool

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

const idName = "Test-Id"

// mine takes the answers that carry the request's own id.
func mine(rq *fasthttp.Request, rs *fasthttp.Response) bool {
	return string(rq.Header.Peek(idName)) == string(rs.Header.Peek(idName))
}

func write(cn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idName, id, len(body), body)
}

// fetch makes an exchange, and returns the body of its answer.
func fetch(t *testing.T, p *Pool, pr *peer, id string, careful bool) (string, error) {
	t.Helper()
	rq := request(fasthttp.MethodGet, "/")
	rq.Header.Set(idName, id)
	an, err := p.Do(t.Context(), pr.address, rq, careful)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(an.Body)
	require.NoError(t, an.Body.Close())
	return string(body), err
}

func TestLateSecondAnswersArePassedOver(t *testing.T) {
	pr := listen(t, func(cn net.Conn, rq *http.Request, _, request int64) bool {
		if request > 1 {
			write(cn, "earlier", "of an earlier request")
		}
		write(cn, rq.Header.Get(idName), "mine")
		return true
	})
	p := newPool(t, func(c *Config) { c.Mine = mine })
	for _, id := range []string{"r1", "r2", "r3"} {
		body, err := fetch(t, p, pr, id, false)
		require.NoError(t, err)
		require.Equal(t, "mine", body)
	}
}

func TestOnlyForeignAnswersAreNone(t *testing.T) {
	pr := listen(t, func(cn net.Conn, _ *http.Request, _, _ int64) bool {
		write(cn, "other", "of another request")
		return false
	})
	_, err := fetch(t, newPool(t, func(c *Config) { c.Mine = mine }), pr, "r1", false)
	require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err))
}

func TestAnswerMayEndWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		reset bool
	}{{"closed", false}, {"reset", true}} {
		t.Run(c.name, func(t *testing.T) {
			pr := listen(t, func(cn net.Conn, _ *http.Request, _, _ int64) bool {
				_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\nall there is")
				if c.reset {
					_ = cn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, err := fetch(t, newPool(t, func(c *Config) { c.Unframed = true }), pr, "r1", false)
			if c.reset {
				require.Error(t, err, "an answer that is cut short is not whole")
				return
			}
			require.NoError(t, err)
			require.Equal(t, "all there is", body)
		})
	}
}

func TestCarefulRequestTakesNoOldConnection(t *testing.T) {
	pr := listen(t, func(cn net.Conn, rq *http.Request, _, _ int64) bool {
		write(cn, rq.Header.Get(idName), "mine")
		return true
	})
	p := newPool(t, func(c *Config) { c.Recent = time.Nanosecond })
	for range 2 {
		_, err := fetch(t, p, pr, "r1", false)
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, pr.opened.Load())
	_, err := fetch(t, p, pr, "r1", true)
	require.NoError(t, err)
	require.EqualValues(t, 2, pr.opened.Load(), "the old connection is left for requests that may run twice")
}

func TestOtherEndSaysHowLongItKeepsConnections(t *testing.T) {
	p := newPool(t, nil)
	for text, want := range map[string]time.Duration{
		"": time.Minute, "timeout=10": 5 * time.Second, "timeout=10, max=5": 5 * time.Second,
		"max=5": time.Minute, "timeout=soon": time.Minute, "timeout=1000": time.Minute,
	} {
		rs := &fasthttp.Response{}
		rs.Header.Set("Keep-Alive", text)
		require.Equal(t, want, p.idleOf(rs), "Keep-Alive: %s", text)
	}
}
