package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobcountednode"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobquotabucket"
	"github.com/carobknot/carobknot/pkg/carobquotalease"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
	"github.com/carobknot/carobknot/pkg/carobquotasettings"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobtable"
)

// makeQuotaTables sets the quota settings and creates the tables of quotas.
func (w *World) makeQuotaTables(c Config) {
	w.QuotaSettings, w.Capacity, w.QuotaNodes = c.QuotaSettings, c.Capacity, 1
	if w.QuotaSettings == (carobquotasettings.QuotaSettings{}) {
		w.QuotaSettings = carobquotasettings.NewQuotaSettings()
	}
	// Nodes that were replaced count for an hour, beside those that replaced them.
	const lifetimes = 2
	w.CountedNodes = carobtable.NewTable[carobnodeid.ID, carobcountednode.CountedNode](carobtable.Config{Limit: lifetimes * c.Limits.Peers})
	w.QuotaStocks = carobtable.NewTable[caroborganisationid.ID, carobquotastock.QuotaStock](carobtable.Config{Limit: carobquotarequest.MaxDemands})
	w.LoweredQuotas = carobtable.NewTable[caroborganisationid.ID, carobrouteversion.Version](carobtable.Config{Limit: carobroutetable.MaxOrganisations})
	w.QuotaBuckets = carobtable.NewTable[caroborganisationid.ID, carobquotabucket.QuotaBucket](carobtable.Config{Limit: carobroutetable.MaxOrganisations})
	w.QuotaLeases = carobtable.NewTable[carobnodeid.ID, carobquotalease.QuotaLease](carobtable.Config{Limit: lifetimes * c.Limits.Peers})
}

// TakeQuotaToken takes a token for a call of an organisation with a quota, and reports whether
// there was one: of those from an allocator, or of this node's own share while it uses that.
func (w *World) TakeQuotaToken(now carobinstant.Instant, stock *carobquotastock.QuotaStock) bool {
	if stock.Take(now) {
		return true
	}
	if w.OwnQuotaSince == carobinstant.Never || !w.QuotaShareUsable {
		return false
	}
	nodes := float64(w.QuotaNodes)
	return stock.TakeOwn(now, w.OwnQuotaSince, float64(stock.Rate)/nodes, w.QuotaSettings.MaxTokens(stock.Rate, stock.Burst)/nodes)
}
