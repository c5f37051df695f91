package test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// relay stands between a command and the log.
type relay struct {
	log string
	// deaf says that no answer gets through any more.
	deaf atomic.Bool
}

func (r *relay) listen(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server.URL
}

func (r *relay) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	if r.deaf.Load() {
		panic(http.ErrAbortHandler)
	}
	on, err := http.NewRequestWithContext(rq.Context(), rq.Method, r.log+rq.URL.RequestURI(), rq.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rs, err := http.DefaultClient.Do(on)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = rs.Body.Close() }()
	if rq.Method == http.MethodPost {
		r.deaf.Store(true)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(rs.StatusCode)
	_, _ = io.Copy(w, rs.Body)
}
