// Package carobanswer holds the head of an answer with its body still to come.
package carobanswer

import (
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
