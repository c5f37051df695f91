package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobretrybudget"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// RetryBudgetOf returns a service's budget of retries and hedges. If the table is full, a
// service without a row gets an empty budget, which allows none.
func (w *World) RetryBudgetOf(service carobservice.Service) *carobretrybudget.RetryBudget {
	if budget := w.RetryBudgets.Get(service); budget != nil {
		return budget
	}
	if budget := w.RetryBudgets.Put(service, carobretrybudget.RetryBudget{Tokens: w.maxRetryTokens()}); budget != nil {
		return budget
	}
	return &carobretrybudget.RetryBudget{}
}

// CreditRetryBudget credits the budget of a service for a call.
func (w *World) CreditRetryBudget(service carobservice.Service) {
	w.RetryBudgetOf(service).AddCall(float64(w.RetryLimits.TokensPerCall), w.maxRetryTokens())
}

// maxRetryTokens returns the maximum number of retries that this node's budget of a service
// can accumulate. It depends on the number of nodes.
func (w *World) maxRetryTokens() float64 {
	return w.RetryLimits.MaxTokens(w.Peers.Len() + 1)
}
