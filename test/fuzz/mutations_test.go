package fuzz

import (
	"encoding/json"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// mutation is a fault built into a node, by changing what its core hears, holds
// or decides. The zero mutation is the product as it is.
type mutation struct {
	name string
	// resubmit says that the fault shows when keys are used again.
	resubmit bool
	// only names the actions under which the fault shows; nil stands for all.
	only []string
	// hear changes the messages or the tables before a tick.
	hear func(n *node, in *carobinbox.Inbox)
	// decide changes the effects or the tables after a tick.
	decide func(n *node, in *carobinbox.Inbox, out *caroboutbox.Outbox)
}

func (m mutation) before(n *node, in *carobinbox.Inbox) {
	if m.hear != nil {
		m.hear(n, in)
	}
}

func (m mutation) after(n *node, in *carobinbox.Inbox, out *caroboutbox.Outbox) {
	if m.decide != nil {
		m.decide(n, in, out)
	}
}

// withReplies changes the fence replies that a node sends.
func withReplies(change func(n *node, fr *carobfencereply.FenceReply)) func(*node, *carobinbox.Inbox, *caroboutbox.Outbox) {
	return func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, ms := range out.Messages {
			if ms.FenceReply != nil {
				change(n, ms.FenceReply)
			}
		}
	}
}

// replaced has calls cut by nodes that are replaced at once.
var replaced = []string{"call", "call often", "wait a little", "replace", "break connections"}

// rehomed has homes of keys replaced between calls with the same keys.
var rehomed = []string{"call", "call often", "wait", "wait a little", "replace"}

// mutations are the faults that the oracle must find.
var mutations = []mutation{
	{name: "take a cut for unreachable", hear: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Replies {
			if in.Replies[i].Kind == carobkind.ConnectionLost {
				in.Replies[i].Kind = carobkind.Unreachable
			}
		}
	}},
	{name: "tell not-run on a cut", decide: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Conclusions {
			if out.Conclusions[i].Kind == carobkind.ConnectionLost {
				out.Conclusions[i].Kind = carobkind.Withdrawn
			}
		}
	}},
	{name: "tell not-run at the deadline", decide: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Conclusions {
			if out.Conclusions[i].Kind == carobkind.Expired {
				out.Conclusions[i].Kind = carobkind.NotStartedInTime
			}
		}
	}},
	{name: "fence without looking", decide: withReplies(func(_ *node, fr *carobfencereply.FenceReply) { fr.State = carobjobstate.Never })},
	{name: "take unknown for never", only: replaced, decide: withReplies(func(_ *node, fr *carobfencereply.FenceReply) {
		if fr.State == carobjobstate.Unknown {
			fr.State = carobjobstate.Never
		}
	})},
	{name: "ignore a fence's incarnation", only: replaced, hear: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Messages {
			if in.Messages[i].Fence != nil {
				in.Messages[i].Fence.Incarnation = n.self.Incarnation
			}
		}
	}},
	{name: "forget the tombstones", only: []string{"wait a little", "call", "call often", "disturb messages", "straggle"}, decide: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		n.core.World().Tombstones = carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}).Tombstones
	}},
	{name: "forget what has ended", decide: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		n.core.World().EndedJobs = carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}).EndedJobs
	}},
	{name: "grant every claim", resubmit: true, decide: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, ms := range out.Messages {
			if ms.ClaimReply != nil {
				ms.ClaimReply.Result = carobclaimresult.Granted
			}
		}
	}},
	{name: "forget the claims of earlier homes", resubmit: true, only: rehomed, hear: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Records {
			in.Records[i].Data = unclaimed(n, in.Records[i].Data)
		}
	}},
	{name: "spend past the budget", decide: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, ms := range out.Messages {
			if ms.LoadProbe != nil || ms.Report != nil {
				out.Messages = append(out.Messages, ms, ms)
			}
		}
	}},
	{name: "drop a finish", hear: func(n *node, in *carobinbox.Inbox) {
		in.Finishes = slices.DeleteFunc(in.Finishes, func(carobfinish.Finish) bool { return n.s.chance(0.2) })
	}},
	{name: "start twice", decide: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		if n.s.chance(0.2) {
			out.Starts = append(out.Starts, out.Starts...)
		}
	}},
	{name: "swap two answers", decide: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Conclusions {
			for _, x := range ordered(n.calls) {
				if x.attempts[1] != nil && x.attempts[1].body != "" && x.arrival.Call != out.Conclusions[i].Call && out.Conclusions[i].Attempt == 1 {
					n.calls[out.Conclusions[i].Call].attempts[1] = x.attempts[1]
				}
			}
		}
	}},
	{name: "conclude twice", decide: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, cn := range out.Conclusions {
			out.Conclusions = append(out.Conclusions, carobconclusion.Conclusion{Call: cn.Call, Kind: carobkind.Expired})
		}
	}},
	{name: "forget a caller", decide: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		if n.s.chance(0.05) {
			out.Conclusions = nil
		}
	}},
	{name: "start while leaving", hear: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Announcements {
			in.Announcements[i].Readiness = carobreadiness.Ready
		}
	}},
	{name: "send to the leaving", only: []string{"wait", "wait a little", "call", "leave"}, hear: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Messages {
			if gs := in.Messages[i].Gossip; gs != nil {
				for j := range gs.Members {
					for k := range gs.Members[j].Targets {
						gs.Members[j].Targets[k].Readiness = carobreadiness.Ready
					}
				}
			}
		}
	}},
	{name: "stop at once", decide: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		out.Stopped = out.Stopped || n.core.World().Stopping
	}},
	{name: "adopt a lower offset", decide: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		for name, rv := range n.core.World().Profiles.All() {
			if n.first == nil {
				n.first = map[string]carobrevision.Revision{}
			}
			if _, ok := n.first[string(name)]; !ok {
				n.first[string(name)] = *rv
			}
			if n.s.chance(0.01) {
				*rv = n.first[string(name)]
			}
		}
	}},
	{name: "take the loser's change too", hear: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Records {
			if in.Records[i].Stream == carobstream.Profiles {
				in.Records[i].Data = rebase(n, in.Records[i].Data)
			}
		}
	}},
	{name: "read profiles once only", hear: func(n *node, in *carobinbox.Inbox) {
		if n.core.World().ProfilesRead != caroboffset.BeforeFirst {
			in.Records = nil
		}
	}},
}

// rebase makes the change in a record one of the revision in force.
func rebase(n *node, data []byte) []byte {
	var ch carobchange.Change
	if json.Unmarshal(data, &ch) != nil {
		return data
	}
	if rv := n.core.World().Profiles.Get(ch.Profile.Name); rv != nil {
		ch.Profile.Base = rv.Offset
	}
	rebased, err := json.Marshal(ch)
	if err != nil {
		return data
	}
	return rebased
}

// unclaimed takes the claims of other nodes out of a record of them.
func unclaimed(n *node, data []byte) []byte {
	var bt carobclaimbatch.Batch
	if json.Unmarshal(data, &bt) != nil || len(bt.Claims) == 0 || bt.Node == n.self.Node && bt.Incarnation == n.self.Incarnation {
		return data
	}
	bt.Claims, bt.Settlements = nil, nil
	changed, err := json.Marshal(bt)
	if err != nil {
		return data
	}
	return changed
}
