package carobanswer_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobanswer"
)

// body is one that may break off.
type body struct {
	io.Reader
	closed int
}

func (b *body) Close() error {
	b.closed++
	return nil
}

func TestGatherFindsWhatIsCutShort(t *testing.T) {
	broken := errors.New("broken")
	for _, c := range []struct {
		name   string
		text   string
		end    error
		length int
		most   int
		err    error
		// closed is how often the body was closed after Gather.
		closed int
	}{
		{"whole", "abc", io.EOF, 3, 10, nil, 1},
		{"whole, of unknown length", "abc", io.EOF, -1, 10, nil, 1},
		{"shorter than said", "ab", io.EOF, 3, 10, io.ErrUnexpectedEOF, 1},
		{"broken off", "ab", broken, -1, 10, broken, 1},
		{"longer than is read", "abcdef", io.EOF, 6, 3, nil, 0},
		{"longer than is read, of unknown length", "abcdef", io.EOF, -1, 3, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			bd := &body{Reader: io.MultiReader(strings.NewReader(c.text), &failing{c.end})}
			an := &carobanswer.Answer{Length: c.length, Body: bd}
			require.ErrorIs(t, an.Gather(c.most), c.err)
			require.Equal(t, c.closed, bd.closed)
			if c.err != nil {
				return
			}
			text, err := io.ReadAll(an.Body)
			require.NoError(t, err)
			require.Equal(t, c.text, string(text))
		})
	}
}

// failing is the end of a body.
type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }
