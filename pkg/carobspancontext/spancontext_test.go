package carobspancontext

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against accepting a header that the W3C recommendation forbids, and against
// rejecting one of a later version.
func TestParse(t *testing.T) {
	const valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	parent, ok := Parse(valid)
	require.True(t, ok)
	require.Equal(t, valid, parent.String())
	later, ok := Parse("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-what-may-come")
	require.True(t, ok)
	require.Equal(t, parent, later)
	for name, text := range map[string]string{
		"empty":                        "",
		"no version":                   "4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"forbidden version":            "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"upper case":                   "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
		"trailing field in version 00": valid + "-x",
		"zero trace":                   "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
		"zero span":                    "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
		"short span":                   "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902-0100",
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := Parse(text)
			require.False(t, ok)
		})
	}
}

// Guards against a child span that leaves its trace or keeps the ID of its parent.
func TestChild(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	root := NewSpanContext(random)
	child := root.Child(random)
	require.Equal(t, root.TraceID, child.TraceID)
	require.NotEqual(t, root.SpanID, child.SpanID)
	parsed, ok := Parse(child.String())
	require.True(t, ok)
	require.Equal(t, child, parsed)
}
