package carobanswer_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobanswer"
)

// countingBody is a body that counts how often it is closed.
type countingBody struct {
	io.Reader
	closed int
}

func (b *countingBody) Close() error {
	b.closed++
	return nil
}

// If a body that is cut off were forwarded, the call could not be retried any
// more. Bodies above the limit must be left readable from the beginning.
func TestBufferDetectsIncompleteBody(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		name    string
		text    string
		end     error
		length  int
		maxSize int
		err     error
		// closed is how often the body was closed after Buffer.
		closed int
	}{
		{"whole", "abc", io.EOF, 3, 10, nil, 1},
		{"complete, of unknown length", "abc", io.EOF, -1, 10, nil, 1},
		{"shorter than Length", "ab", io.EOF, 3, 10, io.ErrUnexpectedEOF, 1},
		{"read error in the body", "ab", broken, -1, 10, broken, 1},
		{"longer than the limit", "abcdef", io.EOF, 6, 3, nil, 0},
		{"longer than the limit, of unknown length", "abcdef", io.EOF, -1, 3, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			source := &countingBody{Reader: io.MultiReader(strings.NewReader(c.text), &errorReader{c.end})}
			answer := &carobanswer.Answer{Length: c.length, Body: source}
			require.ErrorIs(t, answer.Buffer(c.maxSize, nil), c.err)
			require.Equal(t, c.closed, source.closed)
			if c.err != nil {
				return
			}
			text, err := io.ReadAll(answer.Body)
			require.NoError(t, err)
			require.Equal(t, c.text, string(text))
		})
	}
}

// errorReader is the end of a body: it returns err.
type errorReader struct{ err error }

func (r *errorReader) Read([]byte) (int, error) { return 0, r.err }
