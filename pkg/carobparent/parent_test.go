package carobparent

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	const good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	p, ok := Parse(good)
	require.True(t, ok)
	require.Equal(t, good, p.String())
	later, ok := Parse("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-what-may-come")
	require.True(t, ok)
	require.Equal(t, p, later)
	for name, text := range map[string]string{
		"empty":             "",
		"no version":        "4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"forbidden version": "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"upper case":        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
		"more than this":    good + "-x",
		"zero trace":        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
		"zero span":         "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
		"short span":        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902-0100",
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := Parse(text)
			require.False(t, ok)
		})
	}
}

func TestChild(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	root := NewParent(r)
	child := root.Child(r)
	require.Equal(t, root.Trace, child.Trace)
	require.NotEqual(t, root.Span, child.Span)
	again, ok := Parse(child.String())
	require.True(t, ok)
	require.Equal(t, child, again)
}
