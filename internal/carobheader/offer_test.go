package carobheader_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

func sample(request carobrequestid.ID) carobsend.Send {
	return carobsend.Send{
		Job:    carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1 << 60, Sequence: 77}, Attempt: 3},
		Target: carobtargetid.ID{Service: "lookups", Name: "i-1"}, Incarnation: 1 << 61, TimeLeft: 1500 * time.Millisecond,
		Requirements: carobrequirements.Requirements{
			Priority: 2, SLOTimeLeft: -3 * time.Millisecond, SLO: 400 * time.Millisecond, Guarantee: carobguarantee.Idempotent, Movable: true, Request: request,
		},
	}
}

func TestOfferSurvivesTheWire(t *testing.T) {
	for _, request := range []carobrequestid.ID{"", "r1", "with some spaces"} {
		sd := sample(request)
		// Spaces at the ends of a header's value do not arrive.
		text := carobheader.FormatOffer(sd)
		require.Equal(t, strings.TrimSpace(text), text)
		of, err := carobheader.ParseOffer(text)
		require.NoError(t, err)
		require.Equal(t, sd.Job, of.Job)
		require.Equal(t, sd.Target, of.Target)
		require.Equal(t, sd.Incarnation, of.Incarnation)
		require.Equal(t, sd.TimeLeft, of.TimeLeft)
		require.Equal(t, sd.Requirements, of.Requirements)
	}
}

func FuzzOffer(f *testing.F) {
	f.Add(carobheader.FormatOffer(sample("r1")))
	f.Add("x 1 a/b 1 1 1 1 1 no r")
	f.Add("x 1 a/b 1 1 1 1 1 no t r")
	f.Fuzz(func(t *testing.T, text string) {
		of, err := carobheader.ParseOffer(text)
		if err != nil {
			return
		}
		require.Positive(t, of.Job.Attempt)
		require.NoError(t, of.Target.Service.Check())
	})
}
