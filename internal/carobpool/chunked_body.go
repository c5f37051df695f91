package carobpool

import (
	"errors"
	"io"

	"github.com/carobknot/carobknot/internal/carobheader"
)

// chunkedBody reads the body of a response in chunks, and the trailers behind it.
//
// The body stream of the HTTP library accepts malformed trailers and adds all of them to the
// header of the response, where they could replace fields that were checked. Here the trailers
// are checked and discarded, as RFC 9110 allows an intermediary.
type chunkedBody struct {
	exchange *exchange
	// chunks reads the data of the chunks, up to the last one.
	chunks io.Reader
}

// Read reads the next bytes of the body. It returns io.EOF only once the trailers have been
// read and are sound.
func (b *chunkedBody) Read(into []byte) (int, error) {
	n, err := b.chunks.Read(into)
	if err != io.EOF { //nolint:errorlint // readers return io.EOF itself
		return n, err
	}
	if n > 0 {
		return n, nil
	}
	return 0, b.readTrailers()
}

// readTrailers reads and checks the trailers. It returns io.EOF if they are sound.
func (b *chunkedBody) readTrailers() error {
	trailers, err := b.exchange.peekFields()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if err := carobheader.CheckTrailers(trailers); err != nil {
		return err
	}
	if _, err := b.exchange.conn.reader.Discard(len(trailers)); err != nil {
		return err
	}
	return io.EOF
}
