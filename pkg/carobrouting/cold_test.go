package carobrouting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobservicerule"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Guards against an entry node that goes on to avoid a target whose last report said that it is cold, because it sends nothing to the target and so gets no newer report.
func TestLimitOfAColdTargetEndsWithItsReport(t *testing.T) {
	const coldRate, slots, now = 5, 12, carobinstant.Instant(time.Hour)
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "here"}, Limits: caroblimits.NewLimits()})
	id := carobtargetid.ID{Service: "lookups", Name: "a"}
	target := &carobtarget.Target{ID: id, Node: "there", Slots: slots}
	for _, c := range []struct {
		name  string
		ruled bool
		limit carobcallrate.CallRate
		age   time.Duration
		slots int
	}{
		{"cold", true, coldRate, time.Second, 1},
		{"cold by an old report", true, coldRate, 3 * time.Second, slots},
		{"limited by the target itself", true, coldRate - 1, 3 * time.Second, 1},
		{"limited by the target itself, without a rule", false, coldRate, 3 * time.Second, 1},
		{"not limited", true, 0, time.Second, slots},
	} {
		t.Run(c.name, func(t *testing.T) {
			world.RouteTable = &carobroutetable.RouteTable{Version: 1}
			if c.ruled {
				world.RouteTable.ServiceRules = []carobservicerule.ServiceRule{{Service: id.Service, ColdRate: coldRate}}
			}
			require.NoError(t, world.RouteTable.Check())
			added := candidate{targetID: id, slots: slots, load: &carobload.Load{
				Report:     carobreport.Report{Target: id, RateLimit: c.limit, Latency: carobduration.Duration(50 * time.Millisecond)},
				ReportedAt: now.Add(-c.age),
			}}
			setReportedLoad(world, now, target, &added)
			require.Equal(t, c.slots, added.slots)
			require.InDelta(t, float64(c.limit), float64(knownLimit(world, &added)), 0)
		})
	}
	world.RouteTable = &carobroutetable.RouteTable{Version: 1, ServiceRules: []carobservicerule.ServiceRule{{Service: id.Service, ColdRate: coldRate}}}
	require.NoError(t, world.RouteTable.Check())
	require.InDelta(t, coldRate, float64(knownLimit(world, &candidate{targetID: id, load: &carobload.Load{}})), 0, "no report yet")
}
