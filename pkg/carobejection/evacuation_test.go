package carobejection

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobtarget"
)

// Guards against ejections that leave too few targets since those of an evacuated data centre are counted as available, or too few ejections since they count as ejected.
func TestEvacuatedTargetsAreNotCounted(t *testing.T) {
	healthy, failing := carobload.Load{Successes: 10}, carobload.Load{Successes: 1, Failures: 9}
	ejected := carobload.Load{EjectionEnd: carobinstant.Instant(1 << 60)}
	for name, tc := range map[string]struct {
		loads map[string]carobload.Load
		// evacuated has the targets whose data centre is evacuated.
		evacuated []string
		want      bool
	}{
		"half of the targets left":             {map[string]carobload.Load{"a": failing, "b": healthy, "c": healthy, "d": healthy}, []string{"c", "d"}, true},
		"the only target left":                 {map[string]carobload.Load{"a": failing, "b": healthy, "c": healthy, "d": healthy}, []string{"b", "c", "d"}, false},
		"the evacuated targets are ejected":    {map[string]carobload.Load{"a": failing, "b": healthy, "c": ejected, "d": ejected}, []string{"c", "d"}, true},
		"the other target left is ejected too": {map[string]carobload.Load{"a": failing, "b": ejected, "c": healthy, "d": healthy}, []string{"c", "d"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			world := newWorld(tc.loads)
			for _, evacuated := range tc.evacuated {
				world.Targets.Put(target(evacuated), carobtarget.Target{ID: target(evacuated)})
			}
			world.Evacuations.Put("", carobevacuation.Evacuation{Active: true})
			tickWithReply(world, 1, http.StatusInternalServerError)
			require.Equal(t, tc.want, world.Loads.Get(target("a")).EjectionEnd != carobinstant.Never)
		})
	}
}
