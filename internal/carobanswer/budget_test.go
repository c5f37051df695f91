package carobanswer_test

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbytebudget"
)

// endlessBody is a body without an end. It counts the bytes that were read.
type endlessBody struct {
	read *int
}

func (b endlessBody) Read(into []byte) (int, error) {
	*b.read += len(into)
	return len(into), nil
}

func (b endlessBody) Close() error { return nil }

// Guards against a process that runs out of memory, because faulty targets send many bodies without an end at once, each of which is buffered up to its own limit.
func TestBuffersOfAllAnswersAreBounded(t *testing.T) {
	const limit, answers = 1 << 20, 100
	budget := carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: limit})
	read := 0
	var open []*carobanswer.Answer
	for range answers {
		answer := &carobanswer.Answer{Length: -1, Body: endlessBody{&read}}
		require.NoError(t, answer.Buffer(limit/4, budget))
		open = append(open, answer)
	}
	require.LessOrEqual(t, read, limit)
	require.LessOrEqual(t, budget.Reserved(), limit)
	for _, answer := range open {
		require.NoError(t, answer.Body.Close())
		_ = answer.Body.Close()
	}
	require.Zero(t, budget.Reserved())
}

// Guards against answers that lose bytes, or room that is never released, when the budget has no room or the body is cut.
func TestAnswersWithoutRoomAreForwarded(t *testing.T) {
	const text = "0123456789"
	for _, limit := range []int{0, 4, len(text), 2 * len(text)} {
		for _, length := range []int{-1, len(text), len(text) + 5} {
			budget := carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: 1 << 10})
			require.True(t, budget.Reserve(1<<10-limit))
			answer := &carobanswer.Answer{Length: length, Body: io.NopCloser(strings.NewReader(text))}
			if err := answer.Buffer(64, budget); err == nil {
				got, err := io.ReadAll(answer.Body)
				require.NoError(t, err)
				require.Equal(t, text, string(got))
				require.NoError(t, answer.Body.Close())
			}
			require.Equal(t, 1<<10-limit, budget.Reserved(), "limit %d, length %d", limit, length)
		}
	}
}
