package test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	mib      = 1 << 20
	large    = 512 * mib
	resident = 96 * mib
)

// flow gives n bytes from a seed.
func flow(n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{1}), n)
}

func sum(t *testing.T, from io.Reader) (string, int64) {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, from)
	require.NoError(t, err)
	return hex.EncodeToString(h.Sum(nil)), n
}

// Bodies of 512 MB go both ways through two nodes, which hold little of them.
func TestLargeBodies(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "evidence", listenHTTP(t, func(w http.ResponseWriter, rq *http.Request) {
		if rq.Method == http.MethodGet {
			w.Header().Set("Content-Length", fmt.Sprint(large))
			_, _ = io.Copy(w, flow(large))
			return
		}
		h := sha256.New()
		n, _ := io.Copy(h, rq.Body)
		_, _ = fmt.Fprintf(w, "%d %x", n, h.Sum(nil))
	}))
	want, _ := sum(t, flow(large))
	for _, length := range []int64{large, -1} {
		rq, err := http.NewRequest(http.MethodPost, "http://"+m.near.addresses["call"]+"/deck", flow(large))
		require.NoError(t, err)
		rq.Host, rq.ContentLength = "evidence", length
		rq.Header.Set("Carobknot-Deadline", "120000")
		rs, err := http.DefaultClient.Do(rq)
		require.NoError(t, err)
		data, err := io.ReadAll(rs.Body)
		require.NoError(t, err)
		require.NoError(t, rs.Body.Close())
		require.Equal(t, fmt.Sprintf("%d %s", large, want), string(data))
	}

	rq, err := http.NewRequest(http.MethodGet, "http://"+m.near.addresses["call"]+"/deck", http.NoBody)
	require.NoError(t, err)
	rq.Host = "evidence"
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	got, n := sum(t, rs.Body)
	require.NoError(t, rs.Body.Close())
	require.Equal(t, int64(large), n)
	require.Equal(t, want, got)
	for _, node := range []*process{m.near, m.far} {
		peak := node.peak(t)
		t.Logf("peak of %d MiB", peak/mib)
		require.Less(t, peak, resident)
	}
}

// A receiver that takes nothing stops the sender, and nothing piles up between.
func TestBackpressure(t *testing.T) {
	m := startMesh(t)
	open := make(chan struct{})
	release := sync.OnceFunc(func() { close(open) })
	defer release()
	m.serve(t, "evidence", listenHTTP(t, func(_ http.ResponseWriter, rq *http.Request) {
		if rq.Method == http.MethodPost {
			<-open
			_, _ = io.Copy(io.Discard, rq.Body)
		}
	}))
	cn, _ := m.dial(t)
	_, err := fmt.Fprintf(cn, "POST /deck HTTP/1.1\r\nHost: evidence\r\nContent-Length: %d\r\n\r\n", large)
	require.NoError(t, err)
	// The kernel's buffers and the nodes' take some bytes, and then no more.
	require.NoError(t, cn.SetWriteDeadline(clock.Wall().Add(2*time.Second)))
	n, err := io.Copy(cn, flow(large))
	release()
	require.Error(t, err)
	require.Less(t, n, int64(resident))
	require.Less(t, m.near.peak(t), resident)
	require.Less(t, m.far.peak(t), resident)
}

// An upload that is cut never reaches the target as a whole one.
func TestCutUpload(t *testing.T) {
	m := startMesh(t)
	ended := make(chan error, 10)
	m.serve(t, "evidence", listenHTTP(t, func(_ http.ResponseWriter, rq *http.Request) {
		if rq.Method == http.MethodPost {
			_, err := io.Copy(io.Discard, rq.Body)
			ended <- err
		}
	}))
	long := strings.Repeat("x", mib)
	for name, call := range map[string]string{
		"length":    "Content-Length: 9000000\r\n\r\n" + long,
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + long + "\r\n",
		"bad chunk": "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + long + "\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cn, _ := m.dial(t)
			_, err := io.WriteString(cn, "POST /deck HTTP/1.1\r\nHost: evidence\r\n"+call)
			require.NoError(t, err)
			if !strings.HasSuffix(call, "zz\r\n") {
				require.NoError(t, cn.Close())
			}
			require.Error(t, await(t, ended, "the target was not told"), "the target must see that its body is not whole")
		})
	}
}

// An answer that is cut is never passed on as a whole one.
func TestCutAnswer(t *testing.T) {
	m := startMesh(t)
	for name, head := range map[string]string{
		"length":    "Content-Length: 9000000\r\n\r\n",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n10000\r\n",
		"few bytes": "Content-Length: 70000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			service := "cut-" + strings.ReplaceAll(name, " ", "-")
			m.serve(t, service, listen(t, func(cn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n"+head+strings.Repeat("x", 1<<16))
				}
			}))
			cn, reader := m.dial(t)
			_, err := io.WriteString(cn, "GET /deck HTTP/1.1\r\nHost: "+service+"\r\n\r\n")
			require.NoError(t, err)
			rs, err := http.ReadResponse(reader, nil)
			if err != nil {
				return // cut before the head is no whole answer either
			}
			defer func() { _ = rs.Body.Close() }()
			_, err = io.Copy(io.Discard, rs.Body)
			require.Error(t, err, "the caller must see that its answer is not whole")
		})
	}
}

// An answer that ends with its connection can not be known to be whole.
func TestAnswerWithoutLength(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "endless", listen(t, func(cn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\nhaul 17")
		}
	}))
	an, err := ask(m.near, "endless", "haul 17")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, an.status)
	require.Equal(t, "cut", an.header.Get("Carobknot-Kind"))
	require.Equal(t, "unknown", an.header.Get("Carobknot-Outcome"))
}

// A caller that hangs up cancels the work at the target, from both nodes.
func TestHangup(t *testing.T) {
	m := startMesh(t)
	began, gone := make(chan struct{}, 10), make(chan struct{}, 10)
	address := listenHTTP(t, func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/slow" {
			began <- struct{}{}
			<-rq.Context().Done()
			gone <- struct{}{}
		}
	})
	m.serve(t, "lookups", address)
	for _, node := range []*process{m.near, m.far} {
		cn, err := net.Dial("tcp", node.addresses["call"])
		require.NoError(t, err)
		_, err = io.WriteString(cn, "GET /slow HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 60000\r\n\r\n")
		require.NoError(t, err)
		await(t, began, "the target was not called")
		require.NoError(t, cn.Close())
		await(t, gone, "the target was not told that the caller is gone")
	}
}

// await returns the next event, or fails the test when none comes.
func await[E any](t *testing.T, events <-chan E, failure string) E {
	t.Helper()
	cx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	select {
	case event := <-events:
		return event
	case <-cx.Done():
		require.FailNow(t, failure)
		panic("not reached")
	}
}

// A refusal uses nothing of a long body up: it reaches another target whole.
func TestRefusedUpload(t *testing.T) {
	m := startMesh(t)
	file := filepath.Join(t.TempDir(), "uploads.json")
	profile := `{"name": "lookups", "base": 0, "policy": "random", "queue": 0, "tries": 10, "once": "call", "keep": "1KiB", "deadline": "20s"}`
	require.NoError(t, os.WriteFile(file, []byte(profile), 0o600))
	output, code := run("publish", "-log", m.log, file)
	require.Equal(t, 0, code, output)

	began, end := make(chan struct{}, 100), make(chan struct{})
	defer close(end)
	handler := func(w http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/slow" {
			began <- struct{}{}
			<-end
		}
		n, err := io.Copy(io.Discard, rq.Body)
		_, _ = fmt.Fprintf(w, "%d %v", n, err)
	}
	for _, name := range []string{"one", "two"} {
		announce(t, m.far, "evidence/"+name, listenHTTP(t, handler), 1)
	}
	m.known(t, "evidence")
	m.lists(t, "evidence/one", "evidence/two")
	hold, _ := m.dial(t)
	_, err := io.WriteString(hold, "GET /slow HTTP/1.1\r\nHost: evidence\r\n\r\n")
	require.NoError(t, err)
	await(t, began, "the target was not called")
	for range 10 {
		rq, err := http.NewRequest(http.MethodPost, "http://"+m.near.addresses["call"]+"/deck", flow(8*mib))
		require.NoError(t, err)
		rq.Host, rq.ContentLength = "evidence", 8*mib
		rs, err := http.DefaultClient.Do(rq)
		require.NoError(t, err)
		data, err := io.ReadAll(rs.Body)
		require.NoError(t, err)
		require.NoError(t, rs.Body.Close())
		require.Equal(t, fmt.Sprintf("%d <nil>", 8*mib), string(data))
	}
}

// A long body that was sent and got no answer can not be sent again, and the
// caller is told so.
func TestSpentUpload(t *testing.T) {
	m := startMesh(t)
	var calls atomic.Int64
	m.serve(t, "evidence", listen(t, func(_ net.Conn, reader *bufio.Reader) {
		if rq, err := http.ReadRequest(reader); err == nil && rq.Method == http.MethodPost {
			calls.Add(1)
			_, _ = io.Copy(io.Discard, rq.Body)
		}
	}))
	rq, err := http.NewRequest(http.MethodPost, "http://"+m.near.addresses["call"]+"/deck", flow(mib))
	require.NoError(t, err)
	rq.Host, rq.ContentLength = "evidence", mib
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	data, err := io.ReadAll(rs.Body)
	require.NoError(t, err)
	require.NoError(t, rs.Body.Close())
	require.Equal(t, http.StatusBadGateway, rs.StatusCode)
	require.Equal(t, "cut", rs.Header.Get("Carobknot-Kind"))
	require.Equal(t, "unknown", rs.Header.Get("Carobknot-Outcome"))
	require.Contains(t, string(data), "can not be sent again")
	require.Equal(t, int64(1), calls.Load())
}

// A caller that hangs up while its call waits for a slot takes it out of the
// queue: it never runs, and those behind it go on.
func TestHangupInQueue(t *testing.T) {
	m := startMesh(t)
	began, end := make(chan string, 10), make(chan struct{})
	release := sync.OnceFunc(func() { close(end) })
	announce(t, m.far, "lookups/one", listenHTTP(t, func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path != "/ready" {
			began <- rq.URL.Path
			<-end
		}
	}), 1)
	t.Cleanup(release)
	m.known(t, "lookups")
	call := func(path string) (net.Conn, *bufio.Reader) {
		cn, reader := m.dial(t)
		_, err := io.WriteString(cn, "GET "+path+" HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 60000\r\n\r\n")
		require.NoError(t, err)
		return cn, reader
	}
	_, first := call("/first")
	require.Equal(t, "/first", await(t, began, "the target was not called"))
	second, _ := call("/second")
	m.jobs(t, 2)
	require.NoError(t, second.Close())
	m.jobs(t, 1)
	_, third := call("/third")
	m.jobs(t, 2)
	release()
	require.Equal(t, http.StatusOK, readAnswer(t, first).status)
	require.Equal(t, http.StatusOK, readAnswer(t, third).status)
	require.Equal(t, "/third", await(t, began, "the target was not called"))
}

// jobs waits until the far node has a number of calls at its targets, queued
// ones included.
func (m mesh) jobs(t *testing.T, calls int) {
	t.Helper()
	require.Eventually(t, func() bool {
		rs, err := http.Get("http://" + m.far.addresses["admin"] + "/status")
		if err != nil {
			return false
		}
		defer func() { _ = rs.Body.Close() }()
		var status struct {
			Jobs int `json:"jobs"`
		}
		return json.NewDecoder(rs.Body).Decode(&status) == nil && status.Jobs == calls
	}, 10*time.Second, 10*time.Millisecond)
}
