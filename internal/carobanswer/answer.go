// Package carobanswer holds the head of an answer with its body still to come.
package carobanswer

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobreport"
)

// Answer is an answer whose head is here and whose body is read by whoever
// passes it on.
type Answer struct {
	// Response has the status and headers. Its body is not used.
	Response *fasthttp.Response
	// Bodiless says that there is no body, whatever Length says.
	Bodiless bool
	// Length is the length of the body; negative if it is chunked.
	Length int
	// Body gives the whole body or an error. It must be closed.
	Body io.ReadCloser
	// Report is the load of the target; nil if none came.
	Report *carobreport.Report
}

// Gather reads a body that is not longer than most to its end, so that an answer
// that was cut short is found before any of it is passed on. A longer body is
// left as it is.
func (a *Answer) Gather(most int) error {
	if a.Bodiless || a.Length > most {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, int64(most)+1))
	if err == nil && a.Length >= 0 && len(data) != a.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = a.Body.Close()
		return err
	}
	if len(data) > most {
		a.Body = &resumed{Reader: io.MultiReader(bytes.NewReader(data), a.Body), Closer: a.Body}
		return nil
	}
	err = a.Body.Close()
	a.Length, a.Body = len(data), io.NopCloser(bytes.NewReader(data))
	return err
}

// resumed is a body of which the beginning was read before.
type resumed struct {
	io.Reader
	io.Closer
}
