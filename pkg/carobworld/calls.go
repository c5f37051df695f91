package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobbudget"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobring"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobtable"
	"github.com/carobknot/carobknot/pkg/carobunsettled"
	"github.com/carobknot/carobknot/pkg/carobwatermark"
)

// makeCallTables creates the tables of calls, admission and claims.
func (w *World) makeCallTables(lm caroblimits.Limits) {
	w.Calls = carobtable.NewTable[carobcallid.ID, carobcall.Call](carobtable.Config{Limit: lm.Calls})
	w.Jobs = carobtable.NewTable[carobjobid.ID, carobjob.Job](carobtable.Config{Limit: lm.Jobs})
	w.RetryBudgets = carobtable.NewTable[carobservice.Service, carobbudget.RetryBudget](carobtable.Config{Limit: lm.Targets})
	w.EndedJobs = carobring.NewEvictingMap[carobjobid.ID, carobfinish.Finish](carobring.Config{Limit: lm.Jobs})
	w.Tombstones = carobring.NewEvictingMap[carobjobid.ID, struct{}](carobring.Config{Limit: lm.Jobs})
	w.Homes = carobtable.NewTable[carobshard.Shard, carobhome.Home](carobtable.Config{Limit: carobshard.Count})
	w.PendingSettlements = carobtable.NewTable[carobcallid.ID, carobunsettled.PendingSettlement](carobtable.Config{Limit: lm.Calls})
	w.Watermarks = carobring.NewEvictingMap[carobnodeid.ID, carobwatermark.Watermark](carobring.Config{Limit: lm.Peers})
}
