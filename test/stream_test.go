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
	mib       = 1 << 20
	largeBody = 512 * mib
	// maxResident is the highest peak of a node's resident memory, in bytes, that
	// tests with large bodies allow.
	maxResident = 96 * mib
)

// randomBytes returns a reader of n pseudorandom bytes, the same ones on every call.
func randomBytes(n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{1}), n)
}

// checksum returns the SHA-256 checksum in hex, and the number of bytes.
func checksum(t *testing.T, from io.Reader) (string, int64) {
	t.Helper()
	hash := sha256.New()
	n, err := io.Copy(hash, from)
	require.NoError(t, err)
	return hex.EncodeToString(hash.Sum(nil)), n
}

// Bodies of 512 MiB are forwarded in both directions through two nodes. A node that
// buffered whole bodies would exceed the limit of resident memory.
func TestLargeBodies(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "evidence", startHTTPTarget(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			w.Header().Set("Content-Length", fmt.Sprint(largeBody))
			_, _ = io.Copy(w, randomBytes(largeBody))
			return
		}
		hash := sha256.New()
		n, _ := io.Copy(hash, req.Body)
		_, _ = fmt.Fprintf(w, "%d %x", n, hash.Sum(nil))
	}))
	want, _ := checksum(t, randomBytes(largeBody))
	for _, length := range []int64{largeBody, -1} {
		req, err := http.NewRequest(http.MethodPost, "http://"+pair.near.addresses["call"]+"/deck", randomBytes(largeBody))
		require.NoError(t, err)
		req.Host, req.ContentLength = "evidence", length
		req.Header.Set("Carobknot-Deadline", "120000")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, fmt.Sprintf("%d %s", largeBody, want), string(data))
	}

	req, err := http.NewRequest(http.MethodGet, "http://"+pair.near.addresses["call"]+"/deck", http.NoBody)
	require.NoError(t, err)
	req.Host = "evidence"
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	actual, n := checksum(t, resp.Body)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, int64(largeBody), n)
	require.Equal(t, want, actual)
	for _, node := range []*process{pair.near, pair.far} {
		peak := node.peakMemory(t)
		t.Logf("peak of %d MiB", peak/mib)
		require.Less(t, peak, maxResident)
	}
}

// A target that does not read its request blocks the caller's writes. Nodes without
// backpressure would buffer the body and exceed the limit of resident memory.
func TestBackpressure(t *testing.T) {
	pair := startNodePair(t)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	pair.announceTarget(t, "evidence", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			<-released
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}))
	conn, _ := pair.dial(t)
	_, err := fmt.Fprintf(conn, "POST /deck HTTP/1.1\r\nHost: evidence\r\nContent-Length: %d\r\n\r\n", largeBody)
	require.NoError(t, err)
	// The buffers of the kernel and the nodes accept some bytes; then writes block,
	// until the write deadline.
	require.NoError(t, conn.SetWriteDeadline(clock.WallTime().Add(2*time.Second)))
	n, err := io.Copy(conn, randomBytes(largeBody))
	release()
	require.Error(t, err)
	require.Less(t, n, int64(maxResident))
	require.Less(t, pair.near.peakMemory(t), maxResident)
	require.Less(t, pair.far.peakMemory(t), maxResident)
}

// A caller closes its connection within the body, or sends an invalid chunk. The target
// must get a read error, not a body that looks complete.
func TestTruncatedUpload(t *testing.T) {
	pair := startNodePair(t)
	bodyErrors := make(chan error, 10)
	pair.announceTarget(t, "evidence", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			_, err := io.Copy(io.Discard, req.Body)
			bodyErrors <- err
		}
	}))
	long := strings.Repeat("x", mib)
	for name, call := range map[string]string{
		"length":    "Content-Length: 9000000\r\n\r\n" + long,
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + long + "\r\n",
		"bad chunk": "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + long + "\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, _ := pair.dial(t)
			_, err := io.WriteString(conn, "POST /deck HTTP/1.1\r\nHost: evidence\r\n"+call)
			require.NoError(t, err)
			if !strings.HasSuffix(call, "zz\r\n") {
				require.NoError(t, conn.Close())
			}
			require.Error(t, awaitEvent(t, bodyErrors, "the target did not finish reading the body"), "the truncated body must not end without an error")
		})
	}
}

// A target closes its connection within the response. The caller must get a read
// error, not a response that looks complete.
func TestTruncatedResponse(t *testing.T) {
	pair := startNodePair(t)
	for name, head := range map[string]string{
		"length":    "Content-Length: 9000000\r\n\r\n",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n10000\r\n",
		"few bytes": "Content-Length: 70000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			service := "cut-" + strings.ReplaceAll(name, " ", "-")
			pair.announceTarget(t, service, startRawTarget(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+strings.Repeat("x", 1<<16))
				}
			}))
			conn, reader := pair.dial(t)
			_, err := io.WriteString(conn, "GET /deck HTTP/1.1\r\nHost: "+service+"\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return // the connection was closed before the response's header: an error too
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, resp.Body)
			require.Error(t, err, "the truncated response must not end without an error")
		})
	}
}

// A response without Content-Length or chunks ends with its connection, so that a
// truncated one looks complete. The caller gets kind cut and outcome unknown instead.
func TestResponseWithoutLength(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "endless", startRawTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhaul 17")
		}
	}))
	resp, err := sendCall(pair.near, "endless", "haul 17")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.status)
	require.Equal(t, "cut", resp.header.Get("Carobknot-Kind"))
	require.Equal(t, "unknown", resp.header.Get("Carobknot-Outcome"))
}

// A caller that closes its connection cancels the request at the target, whichever
// node received the call.
func TestDisconnectCancelsRequest(t *testing.T) {
	pair := startNodePair(t)
	started, cancelled := make(chan struct{}, 10), make(chan struct{}, 10)
	address := startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			started <- struct{}{}
			<-req.Context().Done()
			cancelled <- struct{}{}
		}
	})
	pair.announceTarget(t, "lookups", address)
	for _, node := range []*process{pair.near, pair.far} {
		conn, err := net.Dial("tcp", node.addresses["call"])
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 60000\r\n\r\n")
		require.NoError(t, err)
		awaitEvent(t, started, "the target was not called")
		require.NoError(t, conn.Close())
		awaitEvent(t, cancelled, "the request at the target was not cancelled")
	}
}

// awaitEvent returns the next event, and fails the test if none comes within 10 s.
func awaitEvent[E any](t *testing.T, events <-chan E, failure string) E {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	select {
	case event := <-events:
		return event
	case <-ctx.Done():
		require.FailNow(t, failure)
		panic("not reached")
	}
}

// One of two targets is busy and has no queue, so that attempts there are refused. The
// body, longer than what the profile lets a node buffer, must reach the other target
// complete: a node that consumed it for a refused attempt could not send it again.
func TestUploadAfterRefusal(t *testing.T) {
	pair := startNodePair(t)
	file := filepath.Join(t.TempDir(), "uploads.json")
	profile := `{"name": "lookups", "base": 0, "policy": "random", "queue": 0, "tries": 10, "once": "call", "keep": "1KiB", "deadline": "20s"}`
	require.NoError(t, os.WriteFile(file, []byte(profile), 0o600))
	output, code := run("publish", "-log", pair.log, file)
	require.Equal(t, 0, code, output)

	started, released := make(chan struct{}, 100), make(chan struct{})
	defer close(released)
	handler := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			started <- struct{}{}
			<-released
		}
		n, err := io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprintf(w, "%d %v", n, err)
	}
	for _, name := range []string{"one", "two"} {
		announce(t, pair.far, "evidence/"+name, startHTTPTarget(t, handler), 1)
	}
	pair.waitForService(t, "evidence")
	pair.waitForTargets(t, "evidence/one", "evidence/two")
	slow, _ := pair.dial(t)
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: evidence\r\n\r\n")
	require.NoError(t, err)
	awaitEvent(t, started, "the target was not called")
	for range 10 {
		req, err := http.NewRequest(http.MethodPost, "http://"+pair.near.addresses["call"]+"/deck", randomBytes(8*mib))
		require.NoError(t, err)
		req.Host, req.ContentLength = "evidence", 8*mib
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, fmt.Sprintf("%d <nil>", 8*mib), string(data))
	}
}

// A target reads the body and closes its connection without a response. A body of this
// length is not buffered, so the call cannot be retried; the response says so.
func TestLongUploadIsNotRetried(t *testing.T) {
	pair := startNodePair(t)
	var calls atomic.Int64
	pair.announceTarget(t, "evidence", startRawTarget(t, func(_ net.Conn, reader *bufio.Reader) {
		if req, err := http.ReadRequest(reader); err == nil && req.Method == http.MethodPost {
			calls.Add(1)
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}))
	req, err := http.NewRequest(http.MethodPost, "http://"+pair.near.addresses["call"]+"/deck", randomBytes(mib))
	require.NoError(t, err)
	req.Host, req.ContentLength = "evidence", mib
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "cut", resp.Header.Get("Carobknot-Kind"))
	require.Equal(t, "unknown", resp.Header.Get("Carobknot-Outcome"))
	require.Contains(t, string(data), "can not be sent again")
	require.Equal(t, int64(1), calls.Load())
}

// A caller closes its connection while its call waits in the queue of a target. The
// call must leave the queue without running, and the next one must run.
func TestDisconnectRemovesQueuedCall(t *testing.T) {
	pair := startNodePair(t)
	started, released := make(chan string, 10), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	announce(t, pair.far, "lookups/one", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/ready" {
			started <- req.URL.Path
			<-released
		}
	}), 1)
	t.Cleanup(release)
	pair.waitForService(t, "lookups")
	send := func(path string) (net.Conn, *bufio.Reader) {
		conn, reader := pair.dial(t)
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 60000\r\n\r\n")
		require.NoError(t, err)
		return conn, reader
	}
	_, first := send("/first")
	require.Equal(t, "/first", awaitEvent(t, started, "the target was not called"))
	second, _ := send("/second")
	pair.waitForJobs(t, 2)
	require.NoError(t, second.Close())
	pair.waitForJobs(t, 1)
	_, third := send("/third")
	pair.waitForJobs(t, 2)
	release()
	require.Equal(t, http.StatusOK, readResponse(t, first).status)
	require.Equal(t, http.StatusOK, readResponse(t, third).status)
	require.Equal(t, "/third", awaitEvent(t, started, "the target was not called"))
}

// waitForJobs waits until the far node has the given number of jobs, including queued
// ones.
func (np nodePair) waitForJobs(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + np.far.addresses["admin"] + "/status")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		var status struct {
			Jobs int `json:"jobs"`
		}
		return json.NewDecoder(resp.Body).Decode(&status) == nil && status.Jobs == count
	}, 10*time.Second, 10*time.Millisecond)
}
