package carobmeter

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Guards against metrics that are counted and not served, or served under another name
// or label.
func TestHandlerServesMetrics(t *testing.T) {
	meter := NewMeter()
	for range 2 {
		meter.Execute(&caroboutbox.Outbox{
			Conclusions:   []carobconclusion.Conclusion{{Kind: carobkind.Busy}, {}},
			Reports:       []carobreport.Report{{Target: carobtargetid.ID{Service: "lookups", Name: "a"}, Running: 7, ColdLimit: 2.5}},
			Sends:         []carobsend.Send{{}, {Requirements: carobrequirements.Requirements{Behind: true}}},
			RoutesVersion: 42, QuotaNodes: 64, QuotaLeases: 60, Allocating: true, QuotaTokens: 3, Organisations: 74,
			RoutesReadAge: 1500 * time.Millisecond, TickDelay: 3 * time.Millisecond,
		})
	}
	require.NoError(t, meter.Close())
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, line := range []string{
		`carobknot_calls{kind="busy"} 2`, `carobknot_calls{kind="none"} 2`, `carobknot_running{service="lookups",target="a"} 7`, `carobknot_routes 42`,
		`carobknot_quota_nodes 64`, `carobknot_quota_leases 60`, `carobknot_quota_allocating 1`, `carobknot_quota_tokens 6`,
		`carobknot_organisations 74`, `carobknot_cold_limit{service="lookups",target="a"} 2.5`, `carobknot_attempts 4`, `carobknot_attempts_behind 2`,
		`carobknot_routes_read_age 1.5`, `carobknot_tick_delay_bucket{le="0.0032"} 2`, `carobknot_tick_delay_bucket{le="0.0016"} 0`,
	} {
		require.Contains(t, recorder.Body.String(), line+"\n")
	}
}

// Guards against a gauge of the limit of cold targets that appears where there is no such limit, or that keeps the limit of a target that has become warm.
func TestColdLimitIsShownOnlyWhereThereIsOne(t *testing.T) {
	id := carobtargetid.ID{Service: "lookups", Name: "a"}
	meter := NewMeter()
	serve := func() string {
		recorder := httptest.NewRecorder()
		meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		return recorder.Body.String()
	}
	meter.Execute(&caroboutbox.Outbox{Reports: []carobreport.Report{{Target: id}}})
	require.Empty(t, meter.coldLimits)
	for _, limit := range []carobcallrate.CallRate{5, 0} {
		meter.Execute(&caroboutbox.Outbox{Reports: []carobreport.Report{{Target: id, ColdLimit: limit}}})
	}
	require.NoError(t, meter.Close())
	require.Contains(t, serve(), `carobknot_cold_limit{service="lookups",target="a"} 0`+"\n")
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
