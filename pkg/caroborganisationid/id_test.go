package caroborganisationid_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// Guards against names that change or end the header in which a target receives them, or the
// offer that carries them between nodes.
func TestNamesAreValuesOfHeaders(t *testing.T) {
	for _, c := range []struct {
		name  string
		id    caroborganisationid.ID
		valid bool
	}{
		{"word", "clinic-7", true},
		{"punctuation", "Clinic:7,(east)~!", true},
		{"longest", caroborganisationid.ID(strings.Repeat("x", caroborganisationid.MaxLength)), true},
		{"empty", "", false},
		{"too long", caroborganisationid.ID(strings.Repeat("x", caroborganisationid.MaxLength+1)), false},
		{"space", "clinic 7", false},
		{"line break", "clinic\r\nX-Other: 1", false},
		{"control character", "clinic\x00", false},
		{"delete", "clinic\x7f", false},
		{"beyond ASCII", "kliník", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.id.Check()
			if c.valid {
				require.NoError(t, err)
				return
			}
			require.Equal(t, carobkind.Invalid, carobkind.Of(err))
		})
	}
}
