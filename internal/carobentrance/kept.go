package carobentrance

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

// deliverKept gives a caller the answer to an earlier call with its key.
func deliverKept(rc *fasthttp.RequestCtx, call carobcallid.ID, kp *carobstoredanswer.StoredAnswer) {
	rc.Response.SetStatusCode(kp.Status)
	rc.Response.Header.SetContentType(kp.Type)
	rc.Response.Header.Set(carobheader.Outcome, string(caroboutcome.Answered))
	rc.Response.Header.Set(carobheader.Call, call.String())
	rc.Response.SetBody(kp.Body)
}

// copier keeps a copy of a small answer while it is passed on.
type copier struct {
	io.ReadCloser
	status int
	kind   string
	copied bytes.Buffer
}

// keepCopy puts a copier into an answer, or returns nil if the answer is not small.
func keepCopy(an *carobanswer.Answer) *copier {
	if an.Length < 0 || an.Length > carobstoredanswer.MaxBody {
		return nil
	}
	c := &copier{
		ReadCloser: an.Body, status: an.Response.StatusCode(), kind: string(an.Response.Header.ContentType()),
	}
	an.Body = c
	return c
}

// Read reads on and copies.
func (c *copier) Read(into []byte) (int, error) {
	n, err := c.ReadCloser.Read(into)
	c.copied.Write(into[:n])
	return n, err
}

// kept returns the copy, which is whole once the answer was passed on whole.
func (c *copier) kept() *carobstoredanswer.StoredAnswer {
	if c == nil {
		return nil
	}
	return &carobstoredanswer.StoredAnswer{Status: c.status, Type: c.kind, Body: c.copied.Bytes()}
}
