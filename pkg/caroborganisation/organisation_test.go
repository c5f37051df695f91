package caroborganisation_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
)

// Guards against quotas that are no quantity, which a peer may send although the operator's
// configuration cannot hold them.
func TestQuotaIsAQuantity(t *testing.T) {
	for _, c := range []struct {
		name         string
		organisation caroborganisation.Organisation
		valid        bool
	}{
		{"no quota", caroborganisation.Organisation{ID: "a"}, true},
		{"quota", caroborganisation.Organisation{ID: "a", Rate: 5, Burst: 10}, true},
		{"no name", caroborganisation.Organisation{Rate: 5}, false},
		{"negative rate", caroborganisation.Organisation{ID: "a", Rate: -1}, false},
		{"rate is not a number", caroborganisation.Organisation{ID: "a", Rate: carobcallrate.CallRate(math.NaN())}, false},
		{"infinite rate", caroborganisation.Organisation{ID: "a", Rate: carobcallrate.CallRate(math.Inf(1))}, false},
		{"negative burst", caroborganisation.Organisation{ID: "a", Burst: -1}, false},
		{"burst is not a number", caroborganisation.Organisation{ID: "a", Burst: math.NaN()}, false},
		{"infinite burst", caroborganisation.Organisation{ID: "a", Burst: math.Inf(1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.organisation.Check()
			if c.valid {
				require.NoError(t, err)
				require.Equal(t, c.organisation.Rate > 0, c.organisation.Limited())
				return
			}
			require.Equal(t, carobkind.Invalid, carobkind.Of(err))
		})
	}
}
