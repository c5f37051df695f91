package carobpool

import (
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

const (
	// maxInterimResponses is the largest number of interim (1xx) responses accepted
	// before the final one.
	maxInterimResponses = 100
	// chunkedLength stands for the length of a body in chunks in the HTTP library.
	chunkedLength = -1
)

// readFinalResponse reads the header of the final response and opens its body. It skips
// interim responses and, with Config.MatchesRequest, responses to earlier requests.
func (x *exchange) readFinalResponse() (*fasthttp.Response, error) {
	for range maxInterimResponses {
		resp, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			if x.config.MatchesRequest == nil || x.config.MatchesRequest(x.request, resp) {
				return resp, nil
			}
			if err := x.discardResponse(resp); err != nil {
				return nil, err
			}
			continue
		}
		if resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return nil, carobkind.New(carobkind.ConnectionLost, "peer switched protocols although no upgrade was requested")
		}
	}
	return nil, carobkind.New(carobkind.ConnectionLost, "too many interim responses")
}

// discardResponse reads the body of a response to an earlier request. It returns an
// error if the body is long or if the connection cannot be used afterwards.
func (x *exchange) discardResponse(resp *fasthttp.Response) error {
	length := resp.Header.ContentLength()
	if length < 0 || length > copyBufferSize || resp.ConnectionClose() {
		return carobkind.New(carobkind.ConnectionLost, "response belongs to another request and cannot be skipped")
	}
	if resp.BodyStream() == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, resp.BodyStream())
	if err == nil && n < int64(length) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// readHeader reads the header of the next response. Unless Config.AllowCloseDelimited
// is set, a final response with neither a length nor chunks is an error, because the
// end of its body could not be distinguished from a broken connection.
func (x *exchange) readHeader() (*fasthttp.Response, error) {
	head, err := x.peekFields()
	if err != nil {
		return nil, err
	}
	if err := carobheader.CheckResponse(head); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.Header.Read(x.conn.reader); err != nil {
		return nil, err
	}
	if resp.StatusCode() < fasthttp.StatusOK || hasNoBody(x.request, resp) {
		return resp, nil
	}
	if resp.Header.ContentLength() < -1 && !x.config.AllowCloseDelimited {
		return nil, carobkind.New(carobkind.ConnectionLost, "response has neither a Content-Length nor chunks")
	}
	if resp.Header.ContentLength() == chunkedLength {
		resp.SetBodyStream(&chunkedBody{exchange: x, chunks: httputil.NewChunkedReader(x.conn.reader)}, chunkedLength)
		return resp, nil
	}
	return resp, resp.ReadBody(x.conn.reader, 0)
}

// peekFields waits for the head of a response, or for the trailers of a body, and returns the
// bytes up to the empty line, which is included, without consuming them. The error is
// bufio.ErrBufferFull if they do not fit into the buffer.
func (x *exchange) peekFields() ([]byte, error) {
	reader := x.conn.reader
	for needed := 1; ; needed = reader.Buffered() + 1 {
		if _, err := reader.Peek(needed); err != nil {
			return nil, err
		}
		buffered, err := reader.Peek(reader.Buffered())
		if length := fieldsLength(buffered); length > 0 || err != nil {
			return buffered[:length], err
		}
	}
}

// fieldsLength returns the length of the lines up to the first empty one, which is included; 0
// if there is none yet. Lines may end in a line feed alone: they are malformed then, but
// complete.
func fieldsLength(data []byte) int {
	for length := 0; ; {
		line := bytes.IndexByte(data[length:], '\n')
		if line < 0 {
			return 0
		}
		isEmpty := line == 0 || line == 1 && data[length] == '\r'
		length += line + 1
		if isEmpty {
			return length
		}
	}
}

// hasNoBody reports whether the method of the request or the status of the response
// rules out a body, whatever the header of the response says.
func hasNoBody(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
