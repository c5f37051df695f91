package carobsegmentedbody_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobsegmentedbody"
)

// Guards against bytes that are lost, repeated or in another order between segments.
func TestBodyIsTheSameInAnySteps(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100_000, 2_000_000} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		for name, source := range map[string]io.Reader{
			"whole": bytes.NewReader(data), "halves": iotest.HalfReader(bytes.NewReader(data)), "end with data": iotest.DataErrReader(bytes.NewReader(data)),
		} {
			length := size
			if name == "end with data" {
				length = -1
			}
			body := carobsegmentedbody.NewSegmentedBody(carobsegmentedbody.Config{})
			require.NoError(t, body.Receive(source, length, 3_000_000))
			require.Equal(t, size, body.Size())
			for range 2 {
				read, err := io.ReadAll(body.Reader())
				require.NoError(t, err)
				require.True(t, bytes.Equal(data, read), "%s of %d bytes", name, size)
			}
			if whole, ok := body.Contiguous(); ok {
				require.True(t, bytes.Equal(data, whole))
			}
		}
	}
}

// Guards against memory that grows with the announced length instead of the bytes that arrived.
func TestMemoryGrowsWithWhatArrives(t *testing.T) {
	const announced = 64 << 20
	for _, sent := range []int{0, 10, 100_000, 1 << 20} {
		reserved := 0
		body := carobsegmentedbody.NewSegmentedBody(carobsegmentedbody.Config{Reserve: func(size int) error {
			reserved += size
			return nil
		}})
		require.ErrorIs(t, body.Receive(bytes.NewReader(make([]byte, sent)), announced, announced), io.ErrUnexpectedEOF)
		require.LessOrEqual(t, reserved, 2*sent+16<<10)
		require.GreaterOrEqual(t, reserved, sent)
	}
}

// Guards against bytes that are read although their memory was denied, and against bodies above the limit.
func TestBodyEndsAtItsLimits(t *testing.T) {
	denied := errors.New("denied")
	body := carobsegmentedbody.NewSegmentedBody(carobsegmentedbody.Config{Reserve: func(int) error { return denied }})
	require.ErrorIs(t, body.Receive(bytes.NewReader(make([]byte, 10)), 10, 100), denied)
	require.Zero(t, body.Size())
	body = carobsegmentedbody.NewSegmentedBody(carobsegmentedbody.Config{})
	require.NoError(t, body.Receive(bytes.NewReader(make([]byte, 1000)), -1, 100))
	require.Equal(t, 101, body.Size(), "one byte more than allowed shows that the body is too long")
}
