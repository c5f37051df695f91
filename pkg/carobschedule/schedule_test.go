package carobschedule

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Guards against keys that are lost, due too early or returned out of order, by
// comparing an agenda with a map that is searched for the earliest instant.
func TestAgendaMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		agenda, model := NewSchedule[int](), map[int]carobinstant.Instant{}
		r.Repeat(map[string]func(*rapid.T){
			"set": func(r *rapid.T) {
				key := rapid.IntRange(0, 9).Draw(r, "key")
				at := carobinstant.Instant(rapid.IntRange(0, 20).Draw(r, "at"))
				agenda.Set(key, at)
				if at == carobinstant.Never {
					delete(model, key)
				} else {
					model[key] = at
				}
			},
			"pop": func(r *rapid.T) {
				now := carobinstant.Instant(rapid.IntRange(1, 20).Draw(r, "now"))
				key, ok := agenda.Pop(now)
				least := earliest(model)
				require.Equal(r, least.Reached(now), ok)
				if ok {
					require.Equal(r, least, model[key])
					delete(model, key)
				}
			},
			"": func(r *rapid.T) {
				require.Equal(r, len(model), agenda.Len())
				require.Equal(r, earliest(model), agenda.NextDue())
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
