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
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
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

// Guards against a mark that is lost between the nodes, and against one that changes the header of a call without an organisation.
func TestOfferCarriesTheMarkOfACallFarBehind(t *testing.T) {
	for _, movable := range []bool{true, false} {
		send := testSend("r1")
		send.Requirements.Movable = movable
		unmarked := carobheader.FormatOffer(send)
		send.Requirements.Behind = true
		require.Equal(t, unmarked, carobheader.FormatOffer(send), "no organisation")
		send.Requirements.Organisation = "clinic-7"
		offer, err := carobheader.ParseOffer(carobheader.FormatOffer(send))
		require.NoError(t, err)
		require.Equal(t, send.Requirements, offer.Requirements)
	}
}

// An organisation that is lost or changed between the nodes makes the target serve the call
// for another one, or start it in the wrong order. A caller may choose its request ID, which
// must not be taken for an organisation.
func TestOfferCarriesTheOrganisation(t *testing.T) {
	for _, c := range []struct {
		name         string
		organisation caroborganisationid.ID
		priority     int
		request      carobrequestid.ID
	}{
		{"organisation", "clinic-7", 3, "r1"},
		{"no request ID", "clinic-7", 0, ""},
		{"separators in the name", "a,b,,c", 40, "r1"},
		{"negative priority", "clinic", -1_000_000, "r1"},
		{"longest name", caroborganisationid.ID(strings.Repeat("x", caroborganisationid.MaxLength)), 1_000_000, "r1"},
		{"request ID that looks like an organisation", "", 0, "t,1,forged r1"},
		{"request ID that begins with a separator", "", 0, ",1,forged"},
	} {
		t.Run(c.name, func(t *testing.T) {
			send := testSend(c.request)
			send.Requirements.Organisation, send.Requirements.OrganisationPriority = c.organisation, c.priority
			offer, err := carobheader.ParseOffer(carobheader.FormatOffer(send))
			require.NoError(t, err)
			require.Equal(t, send.Requirements, offer.Requirements)
		})
	}
}

// The bytes of an offer are paid for between data centres. A call without an organisation
// must not have more of them than before there were organisations.
func TestOfferWithoutOrganisationIsUnchanged(t *testing.T) {
	for movable, flag := range map[bool]string{true: "t", false: "f"} {
		send := testSend("r1")
		send.Requirements.Movable = movable
		require.Equal(t, send.Job.Call.String()+" 3 lookups/i-1 hio94mrrlk3k w5eo 2 -2bc 8kn4 no "+flag+" r1", carobheader.FormatOffer(send))
	}
}

// An organisation whose name cannot be the value of a header must not reach the target, nor
// may an offer run without the organisation that it names.
func TestMalformedOrganisationIsRejected(t *testing.T) {
	valid := carobheader.FormatOffer(testSend("r1"))
	for _, flags := range []string{"t,", "t,1", "t,1,", "t,,a", "t,x!,a", "t,1,\x01", "t,1,é", "x", "", "t,1," + strings.Repeat("x", caroborganisationid.MaxLength+1)} {
		_, err := carobheader.ParseOffer(strings.Replace(valid, " t ", " "+flags+" ", 1))
		require.Equal(t, carobkind.Invalid, carobkind.Of(err), "flags %q", flags)
	}
}

// Malformed offers must be rejected, and accepted ones must have a valid attempt
// and service.
func FuzzOffer(f *testing.F) {
	f.Add(carobheader.FormatOffer(testSend("r1")))
	f.Add("x 1 a/b 1 1 1 1 1 no r")
	f.Add("x 1 a/b 1 1 1 1 1 no t r")
	f.Add(strings.Replace(carobheader.FormatOffer(testSend("r1")), " t ", " t,2,clinic ", 1))
	f.Fuzz(func(t *testing.T, text string) {
		offer, err := carobheader.ParseOffer(text)
		if err != nil {
			return
		}
		require.Positive(t, offer.Job.Attempt)
		require.NoError(t, offer.Target.Service.Check())
		if offer.Requirements.Organisation != "" {
			require.NoError(t, offer.Requirements.Organisation.Check())
		} else {
			require.Zero(t, offer.Requirements.OrganisationPriority)
		}
	})
}
