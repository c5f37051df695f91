package carobevictingmap_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobevictingmap"
)

// Guards against a map that grows beyond its limit, evicts a newer row than
// the oldest, or evicts one when a row is replaced.
func TestFullMapEvictsOldestRow(t *testing.T) {
	const limit = 3
	m := carobevictingmap.NewEvictingMap[int, string](carobevictingmap.Config{Limit: limit})
	for key := range 10 * limit {
		evicted, row, full := m.Put(key, "row")
		require.Equal(t, key >= limit, full)
		if full {
			require.Equal(t, key-limit, evicted)
			require.Equal(t, "row", row)
		}
		_, _, full = m.Put(key, "row")
		require.False(t, full, "replacing a row evicts none")
		require.Equal(t, min(key+1, limit), m.Len())
	}
	_, ok := m.Get(10*limit - limit)
	require.True(t, ok)
	_, ok = m.Get(10*limit - limit - 1)
	require.False(t, ok)
}
