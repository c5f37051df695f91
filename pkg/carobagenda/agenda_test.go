package carobagenda

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// An agenda must do as a map does that is searched for its least instant.
func TestAgendaAsMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		agenda, model := NewAgenda[int](), map[int]carobinstant.Instant{}
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
				least := leastOf(model)
				require.Equal(r, least.Reached(now), ok)
				if ok {
					require.Equal(r, least, model[key])
					delete(model, key)
				}
			},
			"": func(r *rapid.T) {
				require.Equal(r, len(model), agenda.Len())
				require.Equal(r, leastOf(model), agenda.Next())
			},
		})
	})
}

func leastOf(model map[int]carobinstant.Instant) carobinstant.Instant {
	if len(model) == 0 {
		return carobinstant.Never
	}
	instants := make([]carobinstant.Instant, 0, len(model))
	for _, at := range model {
		instants = append(instants, at)
	}
	return slices.Min(instants)
}
