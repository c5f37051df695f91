package carobadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// newKeyedRig returns a rig whose route table has organisations.
func newKeyedRig(slots, queue int) *rig {
	r := newRig(slots, queue)
	r.world.RouteTable = &carobroutetable.RouteTable{Version: 1, RequiresKey: true}
	return r
}

// learnWork lets jobs of the given requirements run one after the other and take a time.
func (r *rig) learnWork(required carobrequirements.Requirements, took time.Duration) {
	for range 3 {
		job := r.offer(required)
		r.step(took-time.Millisecond, carobinbox.Inbox{})
		r.finish(job, 1)
	}
}

// offerRetried steps with the offer of a second attempt at a new call.
func (r *rig) offerRetried(required carobrequirements.Requirements) carobjobid.ID {
	return r.offerAttempt(required, 2, "there")
}

func behind(required carobrequirements.Requirements) carobrequirements.Requirements {
	required.Behind = true
	return required
}

// Guards against an order of deployments with organisations that ignores what their callers need, and against another order than before for the others.
func TestMostUrgentJobOfOrganisationsStartsFirst(t *testing.T) {
	const usual = 800 * time.Millisecond
	plain := requirements(1, usual)
	for _, c := range []struct {
		name string
		// first arrives before second, and starts after it.
		first, second func(r *rig) carobjobid.ID
		// always is true if second precedes without organisations too.
		always bool
	}{
		{
			"far behind before priority",
			func(r *rig) carobjobid.ID { return r.offer(fromOrganisation(0, plain)) },
			func(r *rig) carobjobid.ID { return r.offer(behind(fromOrganisation(9, plain))) },
			false,
		},
		{
			"nested before far behind",
			func(r *rig) carobjobid.ID { return r.offer(behind(fromOrganisation(9, plain))) },
			func(r *rig) carobjobid.ID { return r.offer(requirements(1, 100*time.Millisecond)) },
			true,
		},
		{
			"an earlier attempt",
			func(r *rig) carobjobid.ID { return r.offer(plain) },
			func(r *rig) carobjobid.ID { return r.offerRetried(plain) },
			false,
		},
		{
			"a body from another data centre",
			func(r *rig) carobjobid.ID { return r.offer(plain) },
			func(r *rig) carobjobid.ID { return r.offerAttempt(plain, 1, "far") },
			false,
		},
		{
			"priority before an earlier attempt",
			func(r *rig) carobjobid.ID { return r.offerRetried(fromOrganisation(2, plain)) },
			func(r *rig) carobjobid.ID { return r.offer(fromOrganisation(1, plain)) },
			true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, keyed := range []bool{true, false} {
				r := newKeyedRig(1, 4)
				r.world.RouteTable.RequiresKey = keyed
				r.world.Peers.Put("far", carobpeer.Peer{Member: carobmember.Member{Node: "far", Centre: "elsewhere"}})
				running := r.offer(plain)
				first, second := c.first(r), c.second(r)
				want := first
				if keyed || c.always {
					want = second
				}
				require.Equal(t, []carobjobid.ID{want}, r.finish(running, 1), "keyed: %t", keyed)
			}
		})
	}
}

// Guards against an organisation that has had most of the starts lately and goes on to precede one that has had none, when nothing else differs.
func TestOrganisationWithFewerStartsGoesFirst(t *testing.T) {
	r := newKeyedRig(1, 4)
	from := func(name caroborganisationid.ID) carobrequirements.Requirements {
		required := requirements(1, 0)
		required.Organisation = name
		return required
	}
	running := r.offer(from("much"))
	// Both are due at the same instant, since calls without an SLO are due at their deadline.
	r.next += 2
	r.step(time.Millisecond, carobinbox.Inbox{Offers: []caroboffer.Offer{r.newOffer(r.next-1, from("much")), r.newOffer(r.next, from("little"))}})
	require.Equal(t, []carobjobid.ID{r.newOffer(r.next, from("little")).Job}, r.finish(running, 1))
}

// Guards against a job that counts as in time until its SLO has passed, although the work that it needs no longer fits.
func TestJobWhoseWorkDoesNotFitCountsAsLate(t *testing.T) {
	const slo, work = 800 * time.Millisecond, 300 * time.Millisecond
	for _, known := range []bool{false, true} {
		r := newKeyedRig(1, 4)
		tight, roomy := requirements(1, slo), requirements(2, 10*slo)
		if known {
			r.learnWork(tight, work)
		}
		running := r.offer(roomy)
		first := r.offer(tight)
		r.step(slo-work/2, carobinbox.Inbox{})
		second := r.offer(roomy)
		want := first
		if known {
			want = second
		}
		require.Equal(t, []carobjobid.ID{want}, r.finish(running, 1), "work known: %t", known)
	}
}

// Guards against a job that waits at a target which cannot answer it in time, while its caller could be refused early or another target could run it; and against refusing one that is late anyway.
func TestJobThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	const slo, work = 800 * time.Millisecond, 300 * time.Millisecond
	for _, c := range []struct {
		name    string
		left    time.Duration
		keyed   bool
		refused bool
	}{
		{"in time", slo, true, false},
		{"not in time", work + work/2, true, true},
		{"late already", -1, true, false},
		{"without organisations", work + work/2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newKeyedRig(1, 4)
			r.world.RouteTable.RequiresKey = c.keyed
			r.learnWork(requirements(1, slo), work)
			r.offer(requirements(1, slo))
			r.offer(carobrequirements.Requirements{Priority: 1, SLO: slo, SLOTimeLeft: c.left})
			if !c.refused {
				require.Empty(t, r.world.Outbox.Refusals)
				return
			}
			require.Len(t, r.world.Outbox.Refusals, 1)
			require.Equal(t, carobkind.Busy, r.world.Outbox.Refusals[0].Kind)
		})
	}
}
