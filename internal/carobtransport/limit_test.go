package carobtransport

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against control messages that together take any amount of memory, and against bytes that stay reserved after a request.
func TestReceivedRequestsShareABudget(t *testing.T) {
	budget := carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: 1000})
	transport := &Transport{config: Config{ReceiveBudget: budget}}
	serve := func(size int, inside func(err error)) {
		handler := transport.limitBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			inside(err)
		}))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))))
	}
	serve(800, func(err error) {
		require.NoError(t, err)
		require.Equal(t, 800, budget.Reserved())
		serve(300, func(err error) { require.Equal(t, carobkind.Busy, carobkind.Of(err)) })
		serve(200, func(err error) { require.NoError(t, err) })
	})
	require.Zero(t, budget.Reserved())
}
