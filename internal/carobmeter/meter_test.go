package carobmeter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

func TestCountsAreShown(t *testing.T) {
	m := NewMeter()
	for range 2 {
		m.Carry(&caroboutbox.Outbox{
			Conclusions: []carobconclusion.Conclusion{{Kind: carobkind.Busy}, {}},
			Reports:     []carobreport.Report{{Target: carobtargetid.ID{Service: "lookups", Name: "a"}, Running: 7}},
		})
	}
	require.NoError(t, m.Close())
	rw := httptest.NewRecorder()
	m.Handler().ServeHTTP(rw, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, line := range []string{
		`carobknot_calls{kind="busy"} 2`, `carobknot_calls{kind="none"} 2`, `carobknot_running{service="lookups",target="a"} 7`,
	} {
		require.Contains(t, rw.Body.String(), line+"\n")
	}
}
