package carobfrontend

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/caroboutcome"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// writeStored responds with the answer that is stored for the call's idempotency
// key.
func writeStored(ctx *fasthttp.RequestCtx, call carobcallid.ID, stored *carobstoredanswer.StoredAnswer) {
	ctx.Response.SetStatusCode(stored.Status)
	ctx.Response.Header.SetContentType(stored.Type)
	ctx.Response.Header.Set(carobheader.Outcome, string(caroboutcome.Answered))
	ctx.Response.Header.Set(carobheader.CallID, call.String())
	ctx.Response.SetBody(stored.Body)
}

// bodyRecorder copies the body of an answer while it is read.
type bodyRecorder struct {
	io.ReadCloser
	status      int
	contentType string
	buffer      bytes.Buffer
}

// recordBody replaces the body of an answer by a bodyRecorder. It returns nil,
// and changes nothing, if the body is too long to be stored or of unknown length.
func recordBody(answer *carobanswer.Answer) *bodyRecorder {
	if answer.Length < 0 || answer.Length > carobstoredanswer.MaxBody {
		return nil
	}
	r := &bodyRecorder{
		ReadCloser: answer.Body, status: answer.Response.StatusCode(), contentType: string(answer.Response.Header.ContentType()),
	}
	answer.Body = r
	return r
}

// Read reads from the body and records what was read.
func (r *bodyRecorder) Read(buf []byte) (int, error) {
	n, err := r.ReadCloser.Read(buf)
	r.buffer.Write(buf[:n])
	return n, err
}

// storedAnswer returns the recorded answer, or nil if r is nil. It is complete
// only after the whole body was read.
func (r *bodyRecorder) storedAnswer() *carobstoredanswer.StoredAnswer {
	if r == nil {
		return nil
	}
	return &carobstoredanswer.StoredAnswer{Status: r.status, Type: r.contentType, Body: r.buffer.Bytes()}
}
