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
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobsend"
)

const (
	base, bits = 36, 64
	// offerFields is how many there are: call, attempt, target, incarnation,
	// patience, rank, SLO and the whole of it, how often the call may run, whether it
	// may move. The caller's name for it comes behind them if there is one.
	offerFields = 10
)

// FormatOffer writes what a target's node needs to know of an attempt. All stands
// in one header, since bytes between data centres are dear. Numbers are in base 36
// and times in microseconds.
func FormatOffer(sd carobsend.Send) string {
	number := func(n int64) string { return strconv.FormatInt(n, base) }
	text := strings.Join([]string{
		sd.Job.Call.String(), number(int64(sd.Job.Attempt)), sd.Target.String(),
		strconv.FormatUint(uint64(sd.Incarnation), base), number(sd.TimeLeft.Microseconds()),
		number(int64(sd.Requirements.Priority)), number(sd.Requirements.SLOTimeLeft.Microseconds()), number(sd.Requirements.SLO.Microseconds()),
		string(sd.Requirements.Guarantee), strconv.FormatBool(sd.Requirements.Movable)[:1],
	}, " ")
	if sd.Requirements.Request == "" {
		return text
	}
	return text + " " + string(sd.Requirements.Request)
}

// ParseOffer reads what FormatOffer writes.
func ParseOffer(text string) (caroboffer.Offer, error) {
	var of caroboffer.Offer
	fields := strings.SplitN(text, " ", offerFields+1)
	if len(fields) < offerFields {
		return of, carobkind.New(carobkind.Invalid, "offer: %d fields instead of %d", len(fields), offerFields)
	}
	call, err := carobcallid.Parse(fields[0])
	if err != nil {
		return of, err
	}
	if err := of.Target.UnmarshalText([]byte(fields[2])); err != nil {
		return of, err
	}
	incarnation, err := strconv.ParseUint(fields[3], base, bits)
	if err != nil {
		return of, carobkind.New(carobkind.Invalid, "offer: incarnation is not a number")
	}
	var numbers [5]int64
	for i, field := range []string{fields[1], fields[4], fields[5], fields[6], fields[7]} {
		if numbers[i], err = strconv.ParseInt(field, base, bits); err != nil {
			return of, carobkind.New(carobkind.Invalid, "offer: %q is not a number", field)
		}
	}
	if numbers[0] < 1 {
		return of, carobkind.New(carobkind.Invalid, "offer: attempt is not above 0")
	}
	movable, err := strconv.ParseBool(fields[9])
	if err != nil {
		return of, carobkind.New(carobkind.Invalid, "offer: %q is not a truth value", fields[9])
	}
	of.Job = carobjobid.ID{Call: call, Attempt: int(numbers[0])}
	of.Incarnation = carobincarnation.Incarnation(incarnation)
	of.TimeLeft = micros(numbers[1])
	of.Requirements = carobrequirements.Requirements{
		Priority: int(numbers[2]), SLOTimeLeft: micros(numbers[3]), SLO: micros(numbers[4]),
		Guarantee: carobguarantee.Guarantee(fields[8]), Movable: movable,
	}
	if len(fields) > offerFields {
		of.Requirements.Request = carobrequestid.ID(fields[offerFields])
	}
	return of, nil
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
