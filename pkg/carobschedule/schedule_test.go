package carobschedule

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Guards against keys that are lost, due too early or returned out of order, by
// comparing a schedule with a map that is searched for the earliest instant.
func TestScheduleMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		schedule, model := NewSchedule[int](), map[int]carobinstant.Instant{}
		r.Repeat(map[string]func(*rapid.T){
			"set": func(r *rapid.T) {
				key := rapid.IntRange(0, 9).Draw(r, "key")
				at := carobinstant.Instant(rapid.IntRange(0, 20).Draw(r, "at"))
				schedule.Set(key, at)
				if at == carobinstant.Never {
					delete(model, key)
				} else {
					model[key] = at
				}
			},
			"pop": func(r *rapid.T) {
				now := carobinstant.Instant(rapid.IntRange(1, 20).Draw(r, "now"))
				key, ok := schedule.Pop(now)
				least := earliest(model)
				require.Equal(r, least.Reached(now), ok)
				if ok {
					require.Equal(r, least, model[key])
					delete(model, key)
				}
			},
			"": func(r *rapid.T) {
				require.Equal(r, len(model), schedule.Len())
				require.Equal(r, earliest(model), schedule.NextDue())
			},
		})
	})
}

func earliest(model map[int]carobinstant.Instant) carobinstant.Instant {
	if len(model) == 0 {
		return carobinstant.Never
	}
	instants := make([]carobinstant.Instant, 0, len(model))
	for _, at := range model {
		instants = append(instants, at)
	}
	return slices.Min(instants)
}
