package carobheader

import (
	"strconv"
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobsend"
)

const (
	numberBase, numberBits = 36, 64
	// offerFields is the number of required fields: call, attempt, target,
	// incarnation, time left, priority, time left until the SLO is missed, SLO,
	// execution guarantee, and the flags. The request ID follows if there is one.
	offerFields = 10
)

// The flags of an offer are flagMovable or flagFixed. If the call has an organisation, the
// priority and the name of the organisation follow, each behind a flagSeparator. A caller
// cannot set them, as it could if they were beside the request ID. Names may contain the
// separator.
const (
	flagMovable, flagFixed = "t", "f"
	// flagMovableBehind and flagFixedBehind replace them if the call has an organisation and
	// is far behind.
	flagMovableBehind, flagFixedBehind = "T", "F"
	flagSeparator                      = ","
)

// FormatOffer encodes the description of an attempt for the target's node. It is
// a single header to save bytes, because traffic between data centres is
// expensive. Numbers are in base 36, and durations in microseconds.
func FormatOffer(send carobsend.Send) string {
	number := func(n int64) string { return strconv.FormatInt(n, numberBase) }
	text := strings.Join([]string{
		send.Job.Call.String(), number(int64(send.Job.Attempt)), send.Target.String(),
		strconv.FormatUint(uint64(send.Incarnation), numberBase), number(send.TimeLeft.Microseconds()),
		number(int64(send.Requirements.Priority)), number(send.Requirements.SLOTimeLeft.Microseconds()), number(send.Requirements.SLO.Microseconds()),
		string(send.Requirements.Guarantee), formatFlags(&send.Requirements),
	}, " ")
	if send.Requirements.Request == "" {
		return text
	}
	return text + " " + string(send.Requirements.Request)
}

// ParseOffer decodes what FormatOffer encodes. The error has kind Invalid.
func ParseOffer(text string) (caroboffer.Offer, error) {
	var offer caroboffer.Offer
	fields := strings.SplitN(text, " ", offerFields+1)
	if len(fields) < offerFields {
		return offer, carobkind.New(carobkind.Invalid, "offer: %d fields instead of %d", len(fields), offerFields)
	}
	call, err := carobcallid.Parse(fields[0])
	if err != nil {
		return offer, err
	}
	if err := offer.Target.UnmarshalText([]byte(fields[2])); err != nil {
		return offer, err
	}
	incarnation, err := strconv.ParseUint(fields[3], numberBase, numberBits)
	if err != nil {
		return offer, carobkind.New(carobkind.Invalid, "offer: the incarnation is not a number")
	}
	var numbers [5]int64
	for i, field := range []string{fields[1], fields[4], fields[5], fields[6], fields[7]} {
		if numbers[i], err = strconv.ParseInt(field, numberBase, numberBits); err != nil {
			return offer, carobkind.New(carobkind.Invalid, "offer: %q is not a number", field)
		}
	}
	if numbers[0] < 1 {
		return offer, carobkind.New(carobkind.Invalid, "offer: the attempt must be at least 1")
	}
	offer.Job = carobjobid.ID{Call: call, Attempt: int(numbers[0])}
	offer.Incarnation = carobincarnation.Incarnation(incarnation)
	offer.TimeLeft = microseconds(numbers[1])
	offer.Requirements = carobrequirements.Requirements{
		Priority: int(numbers[2]), SLOTimeLeft: microseconds(numbers[3]), SLO: microseconds(numbers[4]),
		Guarantee: carobguarantee.Guarantee(fields[8]),
	}
	if err := parseFlags(fields[9], &offer.Requirements); err != nil {
		return offer, err
	}
	if len(fields) > offerFields {
		offer.Requirements.Request = carobrequestid.ID(fields[offerFields])
	}
	return offer, nil
}

// formatFlags encodes whether the call may move to another target, and its organisation.
func formatFlags(requirements *carobrequirements.Requirements) string {
	flags := flagFixed
	if requirements.Movable {
		flags = flagMovable
	}
	if requirements.Organisation == "" {
		return flags
	}
	if requirements.Behind {
		flags = strings.ToUpper(flags)
	}
	return flags + flagSeparator + strconv.FormatInt(int64(requirements.OrganisationPriority), numberBase) + flagSeparator + string(requirements.Organisation)
}

// parseFlags decodes what formatFlags encodes. The error has kind Invalid.
func parseFlags(text string, requirements *carobrequirements.Requirements) error {
	flag, organisation, hasOrganisation := strings.Cut(text, flagSeparator)
	requirements.Behind = hasOrganisation && (flag == flagMovableBehind || flag == flagFixedBehind)
	if requirements.Behind {
		flag = strings.ToLower(flag)
	}
	if flag != flagMovable && flag != flagFixed {
		return carobkind.New(carobkind.Invalid, "offer: %q is no flag", flag)
	}
	requirements.Movable = flag == flagMovable
	if !hasOrganisation {
		return nil
	}
	priority, name, _ := strings.Cut(organisation, flagSeparator)
	number, err := strconv.ParseInt(priority, numberBase, numberBits)
	if err != nil {
		return carobkind.New(carobkind.Invalid, "offer: %q is not the priority of an organisation", priority)
	}
	requirements.Organisation, requirements.OrganisationPriority = caroborganisationid.ID(name), int(number)
	return requirements.Organisation.Check()
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
