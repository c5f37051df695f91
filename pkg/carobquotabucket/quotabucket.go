// Package carobquotabucket holds the rows of organisations at an allocator.
package carobquotabucket

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
)

// QuotaBucket is the token bucket of one organisation. Tokens in it and tokens that nodes may
// hold never exceed its capacity together, apart from tokens that were granted before the
// capacity was lowered.
type QuotaBucket struct {
	// Rate is the rate of the quota, and MaxTokens how many tokens may exist if all nodes lend
	// their share.
	Rate      carobcallrate.CallRate
	MaxTokens float64
	// Tokens is what may be granted, as of Credit.
	Tokens float64
	// Credit is the credit of the ledger up to which the bucket is filled.
	Credit float64
	// Outstanding is the number of tokens that nodes may hold.
	Outstanding int
}

const (
	// reserveShare is the share of the capacity that is kept for calls that wait. Without it,
	// the tokens of an organisation that is in use at many nodes are all in stock somewhere, and
	// calls at a node whose stock is used up are refused.
	reserveShare = 0.25
	// minWait is the shortest time for which a node is told not to ask again. The allocator would
	// be overloaded if many nodes sent a request for each call.
	minWait = 100 * time.Millisecond
	// maxWait is the longest such time. It is limited because the quota may be raised meanwhile.
	maxWait = time.Minute
	// rounding is larger than the floating-point error of sums of fractions of tokens.
	rounding = 1e-9
)

// Settle fills the bucket up to a credit of the ledger, and trims it to the capacity that the
// lent share of the quota allows.
func (q *QuotaBucket) Settle(credit, share float64) {
	q.Tokens += float64(q.Rate) * max(0, credit-q.Credit)
	q.Credit = credit
	q.Tokens = max(0, min(q.Tokens, q.MaxTokens*share-float64(q.Outstanding)))
}

// Grant removes and returns the tokens that are granted for calls that wait and for a node's
// stock.
func (q *QuotaBucket) Grant(waiting, stock int, share float64) int {
	granted := min(waiting, int(q.Tokens+rounding))
	beyond := int(q.Tokens + rounding - float64(granted) - reserveShare*q.MaxTokens*share)
	granted += max(0, min(stock, beyond))
	q.Tokens = max(0, q.Tokens-float64(granted))
	q.Outstanding += granted
	return granted
}

// Wait returns the time until a token is expected; 0 if none is.
func (q *QuotaBucket) Wait(share float64) time.Duration {
	rate := float64(q.Rate) * share
	if rate <= 0 {
		return 0
	}
	wait := max(0, 1-q.Tokens) / rate
	return min(maxWait, max(minWait, time.Duration(min(wait, maxWait.Seconds())*float64(time.Second))))
}
