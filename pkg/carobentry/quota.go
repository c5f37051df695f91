package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobquotaperiods"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// tokenTimeout is how long a call without an SLO waits for a token. One with an SLO waits for
	// 1/sloDivisor of it.
	tokenTimeout = 250 * time.Millisecond
	// quotaJitter is added to the time after which callers beyond their quota should retry, at
	// random up to this, so that they do not return together.
	quotaJitter = time.Second
)

// firstStage returns the stage of a call that needs no token or has just got one.
func firstStage(call *carobcall.Call) carobstage.Stage {
	if call.Key() != (carobkey.Key{}) {
		return carobstage.Claiming
	}
	return carobstage.Waiting
}

// limited reports whether a call needs a token of its organisation's quota.
func limited(call *carobcall.Call) bool {
	return call.Organisation != nil && call.Organisation.Limited()
}

// acquireOnArrival takes a token for an arriving call, or lets it wait for one. It returns the kind
// with which to refuse the call instead, or None.
func acquireOnArrival(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) carobkind.Kind {
	stock := stockOf(world, call)
	if stock == nil {
		return carobkind.Busy
	}
	stock.RecordCall(now)
	if world.TakeQuotaToken(now, stock) {
		call.TokenTakenAt = now
		return carobkind.None
	}
	if now.Before(stock.DeniedUntil) && stock.DeniedUntil != carobinstant.Never {
		return carobkind.Quota
	}
	wait := tokenTimeout
	if call.SLODeadline != carobinstant.Never {
		wait = call.SLODeadline.Sub(now) / sloDivisor
	}
	call.Stage, call.TokenDeadline = carobstage.Acquiring, carobinstant.Earlier(call.Deadline, now.Add(wait))
	stock.Waiting++
	world.QuotaWaiting++
	world.QuotaUrgent = true
	world.WakeAt(now)
	return carobkind.None
}

// stockOf returns the row of a call's organisation, which it adds if needed. It returns nil if the
// table is full.
func stockOf(world *carobworld.World, call *carobcall.Call) *carobquotastock.QuotaStock {
	if stock := world.QuotaStocks.Get(call.Organisation.ID); stock != nil {
		return stock
	}
	return world.QuotaStocks.Put(call.Organisation.ID, carobquotastock.QuotaStock{
		Rate: call.Organisation.Rate, Burst: call.Organisation.Burst,
	})
}

// continueAcquiring takes a token for a call that waits for one, or concludes the call if there is
// none in time.
func continueAcquiring(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	stock := world.QuotaStocks.Get(call.Organisation.ID)
	switch {
	case stock == nil:
		// The organisation has no quota any more.
		endAcquiring(world, call)
		call.Stage = firstStage(call)
	case world.TakeQuotaToken(now, stock):
		endAcquiring(world, call)
		call.Stage, call.TokenTakenAt = firstStage(call), now
	case now.Before(stock.DeniedUntil) && stock.DeniedUntil != carobinstant.Never:
		conclude(world, now, call, carobkind.Quota)
	case call.TokenDeadline.Reached(now):
		conclude(world, now, call, carobkind.NotReady)
	default:
		world.WakeAt(call.TokenDeadline)
	}
}

// endAcquiring stops counting a call as one that waits for a token.
func endAcquiring(world *carobworld.World, call *carobcall.Call) {
	if call.Stage != carobstage.Acquiring {
		return
	}
	world.QuotaWaiting--
	if stock := world.QuotaStocks.Get(call.Organisation.ID); stock != nil {
		stock.Waiting = max(0, stock.Waiting-1)
	}
}

// returnToken puts the token of a call that did not run back into stock. One that is older than the
// lifetime of tokens is lost.
func returnToken(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.TokenTakenAt == carobinstant.Never || call.TokenTakenAt.Add(carobquotaperiods.MinTokenLifetime).Reached(now) {
		return
	}
	stock := world.QuotaStocks.Get(call.Organisation.ID)
	if stock != nil && stock.Rate == call.Organisation.Rate && stock.Burst == call.Organisation.Burst {
		stock.Return(now)
	}
}

// quotaRetryAfter returns after what time a caller beyond its organisation's quota should retry:
// when tokens are expected, and jitter.
func quotaRetryAfter(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) time.Duration {
	after := time.Duration(world.Random.Int64N(int64(quotaJitter)))
	if stock := world.QuotaStocks.Get(call.Organisation.ID); stock != nil && stock.DeniedUntil != carobinstant.Never {
		after += max(0, stock.DeniedUntil.Sub(now))
	}
	return max(1, after)
}
