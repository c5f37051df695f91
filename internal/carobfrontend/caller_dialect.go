package carobfrontend

import (
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobsend"
)

// callerDialect is the dialect of callers that use carobknot's own headers.
type callerDialect struct{}

// PrepareAttempt leaves the idempotency key under which the entry claims the call as the only
// one, or none, so that the target does not read another one.
func (callerDialect) PrepareAttempt(header *fasthttp.RequestHeader, arrival *carobarrival.Arrival, _ *carobsend.Send) {
	if arrival.Key == "" {
		carobheader.Remove(header, carobheader.IdempotencyKey)
		return
	}
	carobheader.Replace(header, carobheader.IdempotencyKey, arrival.Key)
}
