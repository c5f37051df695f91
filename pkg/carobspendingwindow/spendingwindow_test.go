package carobspendingwindow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobspendingwindow"
)

// Guards against spending more than the limit within any second, whatever the steps and amounts.
func TestNoSecondExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(1, 1000).Draw(t, "limit"))
		var window carobspendingwindow.SpendingWindow
		now := carobinstant.Instant(time.Hour)
		amounts := map[carobinstant.Instant]float64{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			amount := float64(rapid.IntRange(1, 500).Draw(t, "amount"))
			if !window.Fits(now, amount, limit) {
				continue
			}
			window.Add(now, amount)
			amounts[now] += amount
			sum := 0.0
			for at, amount := range amounts {
				if now.Sub(at) <= carobspendingwindow.Length {
					sum += amount
				}
			}
			require.LessOrEqual(t, sum, limit)
		}
	})
}

// Guards against a window that denies what fits once earlier expenses are over.
func TestExpensesExpire(t *testing.T) {
	var window carobspendingwindow.SpendingWindow
	now := carobinstant.Instant(time.Hour)
	window.Add(now, 8)
	require.False(t, window.Fits(now.Add(time.Second), 3, 10))
	require.True(t, window.Fits(now.Add(time.Second+1), 3, 10))
}

// Guards against an instant at which the amount does not fit yet, or that is later than necessary.
func TestFitsAtIsTheFirstInstantThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10
		var window carobspendingwindow.SpendingWindow
		now := carobinstant.Instant(time.Hour)
		for range rapid.IntRange(0, 20).Draw(t, "expenses") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)/4).Draw(t, "pause")))
			window.Add(now, float64(rapid.IntRange(1, 3).Draw(t, "amount")))
		}
		amount := float64(rapid.IntRange(1, limit).Draw(t, "next"))
		at := window.FitsAt(now, amount, limit)
		require.GreaterOrEqual(t, at, now)
		if at > now {
			require.False(t, window.Fits(at-1, amount, limit))
		}
		require.True(t, window.Fits(at, amount, limit))
	})
}
