package carobmeter

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Guards against metrics that are counted and not served, or served under another name
// or label.
func TestHandlerServesMetrics(t *testing.T) {
	meter := NewMeter()
	for range 2 {
		meter.Execute(&caroboutbox.Outbox{
			Conclusions:   []carobconclusion.Conclusion{{Kind: carobkind.Busy}, {}},
			Reports:       []carobreport.Report{{Target: carobtargetid.ID{Service: "lookups", Name: "a"}, Running: 7}},
			RoutesVersion: 42, QuotaNodes: 64, QuotaLeases: 60, Allocating: true, QuotaTokens: 3, Organisations: 74,
		})
	}
	require.NoError(t, meter.Close())
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, line := range []string{
		`carobknot_calls{kind="busy"} 2`, `carobknot_calls{kind="none"} 2`, `carobknot_running{service="lookups",target="a"} 7`, `carobknot_routes 42`,
		`carobknot_quota_nodes 64`, `carobknot_quota_leases 60`, `carobknot_quota_allocating 1`, `carobknot_quota_tokens 6`,
		`carobknot_quota_nodes 64`, `carobknot_quota_leases 60`, `carobknot_quota_allocating 1`, `carobknot_quota_tokens 6`,
		`carobknot_organisations 74`,
	} {
		require.Contains(t, recorder.Body.String(), line+"\n")
	}
}

// Guards against metrics that grow with each lifetime of a target.
func TestGaugesOfTargetsAreBounded(t *testing.T) {
	meter := NewMeter()
	for i := range 2 * maxTargets {
		meter.Execute(&caroboutbox.Outbox{
			Reports: []carobreport.Report{{Target: carobtargetid.ID{Service: "lookups", Name: carobname.Name(fmt.Sprintf("i-%d", i))}}},
		})
	}
	require.NoError(t, meter.Close())
	require.Len(t, meter.byTarget, maxTargets+1)
}
