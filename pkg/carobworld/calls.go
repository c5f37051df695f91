package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobevictingmap"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpendingsettlement"
	"github.com/carobknot/carobknot/pkg/carobretrybudget"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobtable"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobwatermark"
)

// makeCallTables creates the tables of calls, admission and claims.
func (w *World) makeCallTables(lm caroblimits.Limits) {
	w.Calls = carobtable.NewTable[carobcallid.ID, carobcall.Call](carobtable.Config{Limit: lm.Calls})
	w.Jobs = carobtable.NewTable[carobjobid.ID, carobjob.Job](carobtable.Config{Limit: lm.Jobs})
	w.RetryBudgets = carobtable.NewTable[carobservice.Service, carobretrybudget.RetryBudget](carobtable.Config{Limit: lm.Targets})
	w.EndedJobs = carobevictingmap.NewEvictingMap[carobjobid.ID, carobfinish.Finish](carobevictingmap.Config{Limit: lm.Jobs})
	w.Tombstones = carobevictingmap.NewEvictingMap[carobjobid.ID, struct{}](carobevictingmap.Config{Limit: lm.Jobs})
	w.Homes = carobtable.NewTable[carobshard.Shard, carobhome.Home](carobtable.Config{Limit: carobshard.Count})
	w.PendingSettlements = carobtable.NewTable[carobcallid.ID, carobpendingsettlement.PendingSettlement](carobtable.Config{Limit: lm.Calls})
	w.Watermarks = carobevictingmap.NewEvictingMap[carobnodeid.ID, carobwatermark.Watermark](carobevictingmap.Config{Limit: lm.Peers})
}

// DirectiveOf returns what the response to a job requests. It is nil if there was no valid
// response, or if the target has restarted since the job started.
func (w *World) DirectiveOf(job *carobjob.Job, finish carobfinish.Finish) *carobtargetdirective.TargetDirective {
	state := w.AdmissionStates.Get(job.Offer.Target)
	if state == nil || job.StartedAt < state.AddedAt {
		return nil
	}
	return finish.Directive
}
