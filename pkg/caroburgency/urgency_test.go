package caroburgency_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroburgency"
)

// Guards against a criterion that counts before one that precedes it: each call wins by one criterion and loses by all that follow.
func TestEachCriterionPrecedesAllThatFollow(t *testing.T) {
	changes := []struct {
		name          string
		better, worse func(u *caroburgency.Urgency)
	}{
		{"in time", func(u *caroburgency.Urgency) { u.Late = false }, func(u *caroburgency.Urgency) { u.Late = true }},
		{"nested", func(u *caroburgency.Urgency) { u.Nested = true }, func(u *caroburgency.Urgency) { u.Nested = false }},
		{"far behind", func(u *caroburgency.Urgency) { u.Behind = true }, func(u *caroburgency.Urgency) { u.Behind = false }},
		{"organisation", func(u *caroburgency.Urgency) { u.OrganisationPriority = 0 }, func(u *caroburgency.Urgency) { u.OrganisationPriority = 1 }},
		{"route", func(u *caroburgency.Urgency) { u.RoutePriority = 0 }, func(u *caroburgency.Urgency) { u.RoutePriority = 1 }},
		{"resources spent", func(u *caroburgency.Urgency) { u.Spent = true }, func(u *caroburgency.Urgency) { u.Spent = false }},
		{"due earlier", func(u *caroburgency.Urgency) { u.StartBy = 1 }, func(u *caroburgency.Urgency) { u.StartBy = 2 }},
		{"had less", func(u *caroburgency.Urgency) { u.RecentStarts = 1 }, func(u *caroburgency.Urgency) { u.RecentStarts = 2 }},
		{"came earlier", func(u *caroburgency.Urgency) { u.ArrivedAt = 1 }, func(u *caroburgency.Urgency) { u.ArrivedAt = 2 }},
	}
	for i, change := range changes {
		t.Run(change.name, func(t *testing.T) {
			var wins, loses caroburgency.Urgency
			change.better(&wins)
			change.worse(&loses)
			for _, later := range changes[i+1:] {
				later.worse(&wins)
				later.better(&loses)
			}
			require.Negative(t, wins.Compare(loses))
			require.Positive(t, loses.Compare(wins))
		})
	}
}

// Guards against an order that is not one, so that a queue's first job depends on the order of its rows.
func TestOrderIsTotal(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) caroburgency.Urgency {
		small := rapid.IntRange(0, 1)
		return caroburgency.Urgency{
			Late: rapid.Bool().Draw(t, "late"), Nested: rapid.Bool().Draw(t, "nested"), Behind: rapid.Bool().Draw(t, "behind"),
			OrganisationPriority: small.Draw(t, "organisation"), RoutePriority: small.Draw(t, "route"), Spent: rapid.Bool().Draw(t, "spent"),
			StartBy: carobinstant.Instant(small.Draw(t, "by")), RecentStarts: float64(small.Draw(t, "starts")), ArrivedAt: carobinstant.Instant(small.Draw(t, "at")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		require.Equal(t, a == b, a.Compare(b) == 0)
		require.Equal(t, a.Compare(b) < 0, b.Compare(a) > 0)
		if a.Compare(b) <= 0 && b.Compare(c) <= 0 {
			require.LessOrEqual(t, a.Compare(c), 0)
		}
	})
}
