package carobworld

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallclass"
	"github.com/carobknot/carobknot/pkg/carobdemand"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobtable"
)

// Row limits of the tables of demands and work estimates. A table that is full of recent rows
// takes no new ones.
const (
	maxDemands       = 1024
	maxWorkEstimates = 256
)

func (w *World) makeDemandTables() {
	w.OrganisationDemands = carobtable.NewTable[caroborganisationid.ID, carobdemand.Demand](carobtable.Config{Limit: maxDemands})
	w.RouteDemands = carobtable.NewTable[carobname.Name, carobdemand.Demand](carobtable.Config{Limit: maxDemands})
	w.OrganisationStarts = carobtable.NewTable[caroborganisationid.ID, carobdemand.Demand](carobtable.Config{Limit: maxDemands})
	w.WorkEstimates = carobtable.NewTable[carobcallclass.CallClass, time.Duration](carobtable.Config{Limit: maxWorkEstimates})
}

// RequiresKey reports whether the route table in force has organisations.
func (w *World) RequiresKey() bool {
	return w.RouteTable != nil && w.RouteTable.RequiresKey
}

// CountCall counts a call of this entry that has ended, by its organisation and its route, if
// the route table had organisations when the call arrived. served states whether the caller got
// an answer within the SLO.
func (w *World) CountCall(now carobinstant.Instant, call *carobcall.Call, served bool) {
	if !call.RequiresKey {
		return
	}
	w.OverallDemand.Add(now, served)
	if id := call.OrganisationID(); id != "" {
		AddDemand(w.OrganisationDemands, now, id, served)
	}
	if call.Route != nil {
		AddDemand(w.RouteDemands, now, call.Route.Name, served)
	}
}

// AddDemand counts a call in the row of a key. If the table is full, rows without recent calls
// are removed, and the call is not counted if there are none.
func AddDemand[K comparable](table *carobtable.Table[K, carobdemand.Demand], now carobinstant.Instant, key K, served bool) {
	row := table.Get(key)
	if row == nil && table.Full() {
		for other, demand := range table.All() {
			if demand.Negligible(now) {
				table.Delete(other)
			}
		}
	}
	if row == nil {
		row = table.Put(key, carobdemand.Demand{})
	}
	if row != nil {
		row.Add(now, served)
	}
}

// IsBehind reports whether the organisation or the route of a call has lately had far fewer of
// its calls served at this entry than the average.
func (w *World) IsBehind(now carobinstant.Instant, call *carobcall.Call) bool {
	if call.Organisation == nil {
		return false
	}
	overall := w.OverallDemand.Share()
	if demand := w.OrganisationDemands.Get(call.Organisation.ID); demand != nil && demand.IsBehind(now, overall) {
		return true
	}
	if call.Route == nil {
		return false
	}
	demand := w.RouteDemands.Get(call.Route.Name)
	return demand != nil && demand.IsBehind(now, overall)
}
