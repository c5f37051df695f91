// Package carobanswer holds an answer whose header has been received and whose
// body can be read.
package carobanswer

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobreport"
)

// Answer is an answer of a target. The body is read while it is forwarded.
type Answer struct {
	// Response has the status and the headers. Its body is not used.
	Response *fasthttp.Response
	// NoBody is true if there is no body, even if Length is above 0, as in an
	// answer to HEAD.
	NoBody bool
	// Length is the length of the body in bytes; negative if it is chunked.
	Length int
	// Body returns the body, or an error if it is cut off. It must be closed.
	Body io.ReadCloser
	// Report is the target's load; nil if the answer has no report.
	Report *carobreport.Report
}

// Buffer reads a body of at most maxSize bytes completely, so that an answer that
// is cut off is detected before any of it is forwarded. If the body is cut off,
// Buffer closes it and returns the error. A longer body can still be read from its
// beginning.
func (a *Answer) Buffer(maxSize int) error {
	if a.NoBody || a.Length > maxSize {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, int64(maxSize)+1))
	if err == nil && a.Length >= 0 && len(data) != a.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = a.Body.Close()
		return err
	}
	if len(data) > maxSize {
		a.Body = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(data), a.Body), Closer: a.Body}
		return nil
	}
	err = a.Body.Close()
	a.Length, a.Body = len(data), io.NopCloser(bytes.NewReader(data))
	return err
}

// partlyReadBody returns first the bytes that Buffer has read and then the rest
// of the body.
type partlyReadBody struct {
	io.Reader
	io.Closer
}
