package test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// logProxy forwards requests to the log, up to and including the first append. It
// aborts the connection of that request and of all later ones, which it does not
// forward.
type logProxy struct {
	log string
	// failed is true after the first append.
	failed atomic.Bool
}

// start returns the URL of the proxy, which runs until the end of the test.
func (p *logProxy) start(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return server.URL
}

func (p *logProxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if p.failed.Load() {
		panic(http.ErrAbortHandler)
	}
	forwarded, err := http.NewRequestWithContext(req.Context(), req.Method, p.log+req.URL.RequestURI(), req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	if req.Method == http.MethodPost {
		p.failed.Store(true)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
