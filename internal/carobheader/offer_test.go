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

func testSend(request carobrequestid.ID) carobsend.Send {
	return carobsend.Send{
		Job:    carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1 << 60, Sequence: 77}, Attempt: 3},
		Target: carobtargetid.ID{Service: "lookups", Name: "i-1"}, Incarnation: 1 << 61, TimeLeft: 1500 * time.Millisecond,
		Requirements: carobrequirements.Requirements{
			Priority: 2, SLOTimeLeft: -3 * time.Millisecond, SLO: 400 * time.Millisecond, Guarantee: carobguarantee.Idempotent, Movable: true, Request: request,
		},
	}
}

// A field that is lost or swapped between the nodes makes the target's node run
// the attempt with wrong deadlines, priority or guarantees.
func TestParseOfferInvertsFormatOffer(t *testing.T) {
	for _, request := range []carobrequestid.ID{"", "r1", "with some spaces"} {
		send := testSend(request)
		// Spaces at the ends of a header value are lost in transit.
		text := carobheader.FormatOffer(send)
		require.Equal(t, strings.TrimSpace(text), text)
		offer, err := carobheader.ParseOffer(text)
		require.NoError(t, err)
		require.Equal(t, send.Job, offer.Job)
		require.Equal(t, send.Target, offer.Target)
		require.Equal(t, send.Incarnation, offer.Incarnation)
		require.Equal(t, send.TimeLeft, offer.TimeLeft)
		require.Equal(t, send.Requirements, offer.Requirements)
	}
}

// Malformed offers must be rejected, and accepted ones must have a valid attempt
// and service.
func FuzzOffer(f *testing.F) {
	f.Add(carobheader.FormatOffer(testSend("r1")))
	f.Add("x 1 a/b 1 1 1 1 1 no r")
	f.Add("x 1 a/b 1 1 1 1 1 no t r")
	f.Fuzz(func(t *testing.T, text string) {
		offer, err := carobheader.ParseOffer(text)
		if err != nil {
			return
		}
		require.Positive(t, offer.Job.Attempt)
		require.NoError(t, offer.Target.Service.Check())
	})
}
