package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// logEnd records how a call ended, for operators. after is the retry time that the
// caller gets; 0 if the kind's own applies.
func logEnd(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, text string, kind carobkind.Kind, after time.Duration) {
	decision := carobdecision.Decision{
		Component: "entry", Text: text, Request: call.Arrival.Request, Organisation: call.OrganisationID(), Call: call.Arrival.Call, Kind: kind,
		Attempt: len(call.Attempts),
		Inputs: []carobinput.Input{
			{Name: "routes", Value: float64(call.RoutesVersion)},
			carobinput.Age("confirmedms", call.ArrivedAt, call.RoutesConfirmedAt),
			carobinput.Age("readms", call.ArrivedAt, call.RoutesReadAt),
			carobinput.Age("agems", now, call.ArrivedAt),
			{Name: "leftms", Value: carobinput.Milliseconds(call.Deadline.Sub(now))},
			{Name: "afterms", Value: carobinput.Milliseconds(after)},
		},
	}
	if n := len(call.Attempts); n > 0 {
		decision.Target = call.Attempts[n-1].Target
	}
	world.RecordDecision(decision)
}
