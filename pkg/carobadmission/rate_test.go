package carobadmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
)

// limitWindow is the time over which the calls at a target are counted, and limitFactor and
// limitSlack say how many there may be: limitFactor times what the limit allows, and
// limitSlack.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedTarget offers many jobs to a target that names a rate limit in each response.
type limitedTarget struct {
	*rig
	// limit is what the target's responses name, and known what entry nodes know.
	limit, known carobcallrate.CallRate
	running      []carobjobid.ID
	startedAt    []carobinstant.Instant
	nested       bool
	// silent is true if no job ends.
	silent bool
}

// run offers jobs at a rate for some time, each of which ends in the next step.
func (l *limitedTarget) run(duration time.Duration, perSecond float64) {
	const interval = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed for a repeatable test
	for elapsed := time.Duration(0); elapsed < duration; elapsed += interval {
		in := carobinbox.Inbox{}
		for _, job := range l.running {
			in.Finishes = append(in.Finishes, carobfinish.Finish{Job: job, Status: 200, Directive: &carobtargetdirective.TargetDirective{RateLimit: l.limit}})
		}
		if l.silent {
			in.Finishes = nil
		}
		l.running = nil
		if random.Float64() < perSecond*interval.Seconds() {
			in.Offers = append(in.Offers, l.newLimitedOffer())
		}
		l.step(interval, in)
		for _, start := range l.world.Outbox.Starts {
			l.running = append(l.running, start.Job)
			l.startedAt = append(l.startedAt, l.now)
		}
	}
}

func (l *limitedTarget) newLimitedOffer() caroboffer.Offer {
	l.next++
	required := requirements(1, time.Second)
	if l.nested {
		required = requirements(1, 100*time.Millisecond)
	}
	return caroboffer.Offer{
		Job: carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1, Sequence: l.next}, Attempt: 1}, Target: target, Incarnation: 1,
		TimeLeft: 10 * time.Second, Requirements: required, RateLimit: l.known,
	}
}

// most returns the largest number of starts within limitWindow.
func (l *limitedTarget) most() float64 {
	most := 0
	for i := range l.startedAt {
		count := 0
		for _, at := range l.startedAt[i:] {
			if at.Sub(l.startedAt[i]) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return float64(most)
}

// allowed returns how many calls a limit allows within limitWindow.
func allowed(limit carobcallrate.CallRate) float64 {
	return limitFactor*float64(limit)*limitWindow.Seconds() + limitSlack
}

// Guards against more calls than a target has said it takes, and against a limit that is held far below what it allows.
func TestStartsKeepToTheRateLimit(t *testing.T) {
	for _, limit := range []carobcallrate.CallRate{0.25, 1, 4.2, 30} {
		for _, perSecond := range []float64{5, 60, 200} {
			l := &limitedTarget{rig: newRig(12, 4), limit: limit}
			l.run(time.Second, perSecond)
			l.startedAt = nil
			const seconds = 20
			l.run(seconds*time.Second, perSecond)
			require.LessOrEqual(t, l.most(), allowed(limit), "limit %v, %v offers a second", limit, perSecond)
			require.Greater(t, float64(len(l.startedAt)), 0.7*seconds*min(float64(limit), perSecond)-1, "limit %v, %v offers a second", limit, perSecond)
		}
	}
}

// Guards against a limit that keeps an old value when the target names others several times a second, or that outlasts the responses that name it.
func TestRateLimitFollowsTheNewestResponse(t *testing.T) {
	l := &limitedTarget{rig: newRig(12, 4), limit: 10}
	l.run(2*time.Second, 100)
	l.startedAt = nil
	for range 25 {
		l.limit = 4
		l.run(200*time.Millisecond, 100)
		l.limit = 10
		l.run(200*time.Millisecond, 100)
	}
	require.LessOrEqual(t, l.most(), allowed(10))
	l.limit = 0
	l.run(time.Second, 100)
	l.startedAt = nil
	l.run(time.Second, 100)
	require.Greater(t, len(l.startedAt), 80, "no limit is left")
}

// Guards against a burst of calls at a target whose node has just started and does not know its limit yet, although entry nodes do.
func TestStartedNodeAdoptsTheRateLimitOfEntryNodes(t *testing.T) {
	const limit = carobcallrate.CallRate(2)
	l := &limitedTarget{rig: newRig(40, 4), known: limit, silent: true}
	l.run(limitWindow, 200)
	require.LessOrEqual(t, float64(len(l.startedAt)), float64(limit)*limitWindow.Seconds()+limitSlack)
	l = &limitedTarget{rig: newRig(12, 4), known: limit}
	l.run(2*time.Second, 200)
	l.startedAt = nil
	l.run(time.Second, 100)
	require.Greater(t, len(l.startedAt), 80, "a limit that the target no longer names has ended")
}

// Guards against jobs that wait in the queue of a target whose rate limit does not let them start soon, instead of moving to another target.
func TestJobsBeyondTheRateLimitAreRefusedAtOnce(t *testing.T) {
	l := &limitedTarget{rig: newRig(12, 4), limit: 1, known: 1}
	l.run(2*time.Second, 50)
	l.step(0, carobinbox.Inbox{Offers: []caroboffer.Offer{l.newLimitedOffer(), l.newLimitedOffer(), l.newLimitedOffer()}})
	require.GreaterOrEqual(t, len(l.world.Outbox.Refusals), 2)
	require.LessOrEqual(t, l.world.AdmissionStates.Get(target).Queued, 1)
}

// Guards against nested calls that find no token because other calls took them all, so that the jobs that wait for them fail.
func TestTokensAreReservedForNestedCalls(t *testing.T) {
	l := &limitedTarget{rig: newRig(12, 0), limit: 12, known: 12, nested: true}
	l.run(2*time.Second, 4)
	started := 0
	for range 20 {
		l.nested = false
		l.run(500*time.Millisecond, 200)
		l.nested = true
		l.step(time.Millisecond, carobinbox.Inbox{Offers: []caroboffer.Offer{l.newLimitedOffer()}})
		started += len(l.world.Outbox.Starts)
		for _, start := range l.world.Outbox.Starts {
			l.running = append(l.running, start.Job)
		}
	}
	require.GreaterOrEqual(t, started, 18)
}
