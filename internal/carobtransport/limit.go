package carobtransport

import (
	"io"
	"net/http"

	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// limitBodies returns a handler that reserves the bytes of each request while it is served,
// so that clients can not make the process hold any number of requests.
func (t *Transport) limitBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &limitedBody{ReadCloser: r.Body, budget: t.config.ReceiveBudget}
		defer body.release()
		r.Body = body
		handler.ServeHTTP(w, r)
	})
}

// limitedBody is the body of a request.
type limitedBody struct {
	io.ReadCloser
	budget *carobbytebudget.ByteBudget
	// reserved is the number of bytes that were read and reserved.
	reserved int
}

// Read reads from the body. The error has the kind Busy if the budget has no room for what
// was read.
func (b *limitedBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if !b.budget.Reserve(n) {
		return 0, carobkind.New(carobkind.Busy, "the limit of received control messages is reached")
	}
	b.reserved += n
	return n, err
}

func (b *limitedBody) release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
}
