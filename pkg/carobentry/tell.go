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

// tell notes how a call ended, for those on call.
func tell(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, text string, kind carobkind.Kind, after time.Duration) {
	dc := carobdecision.Decision{
		Part: "entry", Text: text, Request: cl.Arrival.Request, Call: cl.Arrival.Call, Kind: kind,
		Attempt: len(cl.Attempts),
		Inputs: []carobinput.Input{
			{Name: "routes", Value: float64(w.RoutesVersion())},
			carobinput.Age("agems", now, cl.Came),
			{Name: "leftms", Value: carobinput.Ms(cl.Deadline.Sub(now))},
			{Name: "afterms", Value: carobinput.Ms(after)},
		},
	}
	if n := len(cl.Attempts); n > 0 {
		dc.Target = cl.Attempts[n-1].Target
	}
	w.Decide(dc)
}
