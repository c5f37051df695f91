package carobpattern

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that differ with the sizes of the reads, whose checksums would
// then not match although no byte was lost.
func TestBytesDoNotDependOnReadSize(t *testing.T) {
	c := Config{Seed: 7, Length: 1001}
	whole := NewPattern(c).Bytes()
	require.Len(t, whole, 1001)
	pieces, err := io.ReadAll(iotest.OneByteReader(NewPattern(c)))
	require.NoError(t, err)
	require.Equal(t, whole, pieces)
	require.NotEqual(t, whole, NewPattern(Config{Seed: 8, Length: 1001}).Bytes())
	sum, length, err := Checksum(NewPattern(c))
	require.NoError(t, err)
	require.EqualValues(t, 1001, length)
	same, _, err := Checksum(bytes.NewReader(whole))
	require.NoError(t, err)
	require.Equal(t, same, sum)
}
