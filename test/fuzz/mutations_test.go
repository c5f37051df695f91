package fuzz

import (
	"encoding/json"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobspendingwindow"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// mutation is a fault that is injected into nodes by a change of their input, tables or
// effects. The zero mutation changes nothing.
type mutation struct {
	name string
	// reuseKeys is true if the fault shows only when keys are used again.
	reuseKeys bool
	// coldTargets is true if the fault shows only when targets get cold.
	coldTargets bool
	// organisations is true if the fault shows only when calls carry API keys.
	organisations bool
	// onlyActions lists the actions under which the fault shows soonest; nil runs all.
	onlyActions []string
	// evacuations is true if the fault concerns evacuations.
	evacuations bool
	// changeInput changes the input or the tables before a tick; nil changes nothing.
	changeInput func(n *node, in *carobinbox.Inbox)
	// changeEffects changes the effects or the tables after a tick; nil changes nothing.
	changeEffects func(n *node, in *carobinbox.Inbox, out *caroboutbox.Outbox)
}

func (m mutation) beforeTick(n *node, in *carobinbox.Inbox) {
	if m.changeInput != nil {
		m.changeInput(n, in)
	}
}

func (m mutation) afterTick(n *node, in *carobinbox.Inbox, out *caroboutbox.Outbox) {
	if m.changeEffects != nil {
		m.changeEffects(n, in, out)
	}
}

// withFenceReplies returns a function for changeEffects that changes each fence reply that
// a node sends.
func withFenceReplies(change func(n *node, reply *carobfencereply.FenceReply)) func(*node, *carobinbox.Inbox, *caroboutbox.Outbox) {
	return func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, message := range out.Messages {
			if message.FenceReply != nil {
				change(n, message.FenceReply)
			}
		}
	}
}

// replaceActions replace nodes at once while calls are in flight.
var replaceActions = []string{"call", "call often", "wait a little", "replace", "break connections"}

// rehomeActions replace the homes of keys between calls with the same keys.
var rehomeActions = []string{"call", "call often", "wait", "wait a little", "replace"}

// keyActions add and withdraw keys while calls are made and nodes are cut off from the store.
var keyActions = []string{"call", "call often", "wait", "wait a little", "publish keys", "cut a third off the store", "mend the store"}

// mutations lists the faults that the oracle must find.
var mutations = []mutation{
	{name: "ignore the evacuations that other nodes know", evacuations: true, onlyActions: evacuationActionNames, changeInput: func(_ *node, in *carobinbox.Inbox) {
		in.Messages = slices.Clone(in.Messages)
		for i := range in.Messages {
			in.Messages[i].Evacuations = nil
		}
	}},
	{name: "take an evacuation back at once if its record is missing", evacuations: true, onlyActions: []string{"evacuate often", "drop records", "call", "call often", "wait", "wait a little"}, changeInput: func(n *node, in *carobinbox.Inbox) {
		for i := range in.EvacuationLists {
			list := &in.EvacuationLists[i]
			for centre := range n.core.World().Evacuations.All() {
				if !slices.Contains(list.Active, centre) {
					list.Removed = append(slices.Clone(list.Removed), centre)
				}
			}
		}
	}},
	{name: "go on from the offsets of before a restore of the store", evacuations: true, onlyActions: evacuationActionNames, changeInput: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.EvacuationLists {
			in.EvacuationLists[i].Era = 0
		}
	}},
	{name: "treat a lost connection as unreachable", changeInput: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.AttemptReplies {
			if in.AttemptReplies[i].Kind == carobkind.ConnectionLost {
				in.AttemptReplies[i].Kind = carobkind.Unreachable
			}
		}
	}},
	{name: "report not-run for a lost connection", changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Conclusions {
			if out.Conclusions[i].Kind == carobkind.ConnectionLost {
				out.Conclusions[i].Kind = carobkind.Withdrawn
			}
		}
	}},
	{name: "report not-run at the deadline", changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Conclusions {
			if out.Conclusions[i].Kind == carobkind.Expired {
				out.Conclusions[i].Kind = carobkind.NotStartedInTime
			}
		}
	}},
	{name: "answer every fence with never", changeEffects: withFenceReplies(func(_ *node, reply *carobfencereply.FenceReply) { reply.State = carobjobstate.Never })},
	{name: "answer fences of unknown jobs with never", onlyActions: replaceActions, changeEffects: withFenceReplies(func(_ *node, reply *carobfencereply.FenceReply) {
		if reply.State == carobjobstate.Unknown {
			reply.State = carobjobstate.Never
		}
	})},
	{name: "ignore a fence's incarnation", onlyActions: replaceActions, changeInput: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Messages {
			if in.Messages[i].Fence != nil {
				in.Messages[i].Fence.Incarnation = n.self.Incarnation
			}
		}
	}},
	{name: "discard the tombstones", onlyActions: []string{"wait a little", "call", "call often", "disturb messages", "straggle"}, changeEffects: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		n.core.World().Tombstones = carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}).Tombstones
	}},
	{name: "discard the ended jobs", changeEffects: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		n.core.World().EndedJobs = carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}).EndedJobs
	}},
	{name: "grant every claim", reuseKeys: true, changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, message := range out.Messages {
			if message.ClaimReply != nil {
				message.ClaimReply.Result = carobclaimresult.Granted
			}
		}
	}},
	{name: "ignore the claims of earlier homes", reuseKeys: true, onlyActions: rehomeActions, changeInput: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Records {
			in.Records[i].Data = withoutForeignClaims(n, in.Records[i].Data)
		}
	}},
	{name: "exceed the probe budget", changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, message := range out.Messages {
			if message.LoadProbe != nil || message.Report != nil {
				out.Messages = append(out.Messages, message, message)
			}
		}
	}},
	{name: "lose the end of jobs", changeInput: func(n *node, in *carobinbox.Inbox) {
		in.Finishes = slices.DeleteFunc(in.Finishes, func(carobfinish.Finish) bool { return n.sim.chance(0.2) })
	}},
	{name: "start jobs twice", changeEffects: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		if n.sim.chance(0.2) {
			out.Starts = append(out.Starts, out.Starts...)
		}
	}},
	{name: "swap answers of two calls", changeEffects: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Conclusions {
			for _, call := range sortedValues(n.calls) {
				if call.attempts[1] != nil && call.attempts[1].response != "" && call.arrival.Call != out.Conclusions[i].Call && out.Conclusions[i].Attempt == 1 {
					n.calls[out.Conclusions[i].Call].attempts[1] = call.attempts[1]
				}
			}
		}
	}},
	{name: "conclude calls twice", changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for _, conclusion := range out.Conclusions {
			out.Conclusions = append(out.Conclusions, carobconclusion.Conclusion{Call: conclusion.Call, Kind: carobkind.Expired})
		}
	}},
	{name: "lose conclusions", changeEffects: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		if n.sim.chance(0.05) {
			out.Conclusions = nil
		}
	}},
	{name: "start jobs on a leaving target", changeInput: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Announcements {
			in.Announcements[i].Readiness = carobreadiness.Ready
		}
	}},
	{name: "send attempts to leaving targets", onlyActions: []string{"wait", "wait a little", "call", "leave"}, changeInput: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Messages {
			if gossip := in.Messages[i].Gossip; gossip != nil {
				for j := range gossip.Members {
					for k := range gossip.Members[j].Targets {
						gossip.Members[j].Targets[k].Readiness = carobreadiness.Ready
					}
				}
			}
		}
	}},
	{name: "stop without draining", changeEffects: func(n *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		out.Stopped = out.Stopped || n.core.World().Stopping
	}},
	{name: "return to an older revision", changeEffects: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		for name, revision := range n.core.World().Profiles.All() {
			if n.firstRevisions == nil {
				n.firstRevisions = map[string]carobrevision.Revision{}
			}
			if _, ok := n.firstRevisions[string(name)]; !ok {
				n.firstRevisions[string(name)] = *revision
			}
			if n.sim.chance(0.01) {
				*revision = n.firstRevisions[string(name)]
			}
		}
	}},
	{name: "apply conflicting changes too", changeInput: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Records {
			if in.Records[i].Stream == carobstream.Profiles {
				in.Records[i].Data = rebase(n, in.Records[i].Data)
			}
		}
	}},
	{name: "keep the first keys", organisations: true, onlyActions: keyActions, changeInput: func(n *node, in *carobinbox.Inbox) {
		if n.core.World().RouteTable != nil {
			in.RouteTables = nil
			for i := range in.Messages {
				in.Messages[i].RouteTable = nil
			}
		}
	}},
	{name: "take every key for a known one", organisations: true, onlyActions: keyActions, changeInput: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Arrivals {
			in.Arrivals[i].Credential = carobcredential.Credential{Key: carobkeydigest.Of([]byte(constantKey)), Valid: true}
		}
	}},
	{name: "lose keys", organisations: true, onlyActions: keyActions, changeInput: func(n *node, in *carobinbox.Inbox) {
		for i := range in.Arrivals {
			if n.sim.chance(0.05) {
				in.Arrivals[i].Credential.Valid = false
			}
		}
	}},
	{name: "tell the target another organisation", organisations: true, onlyActions: keyActions, changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Starts {
			if out.Starts[i].Organisation != "" {
				out.Starts[i].Organisation = "org-0"
			}
		}
	}},
	{name: "tell the target no organisation", organisations: true, onlyActions: keyActions, changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Starts {
			out.Starts[i].Organisation = ""
		}
	}},
	{name: "let keys leave the entry", organisations: true, onlyActions: keyActions, changeEffects: func(_ *node, _ *carobinbox.Inbox, out *caroboutbox.Outbox) {
		for i := range out.Sends {
			out.Sends[i].RemoveIdentity = false
		}
	}},
	{name: "return to the first keys", organisations: true, onlyActions: keyActions, changeEffects: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		world := n.core.World()
		if n.firstTable == nil {
			n.firstTable = world.RouteTable
		}
		if n.sim.chance(0.01) {
			world.RouteTable = n.firstTable
		}
	}},
	{name: "read profiles only once", changeInput: func(n *node, in *carobinbox.Inbox) {
		if n.core.World().ProfilesRead != caroboffset.BeforeFirst {
			in.Records = nil
		}
	}},
	{name: "take a cold target for warm", coldTargets: true, changeInput: func(_ *node, in *carobinbox.Inbox) {
		for i := range in.Announcements {
			in.Announcements[i].WarmupLeft = 0
		}
	}},
	{name: "forget the starts before a target became cold", coldTargets: true, changeInput: func(n *node, _ *carobinbox.Inbox) {
		for _, state := range n.core.World().AdmissionStates.All() {
			state.RecentStarts = carobspendingwindow.SpendingWindow{}
		}
	}},
}

// rebase returns a record whose change is based on the revision in force. It returns
// records without a change as they are.
func rebase(n *node, data []byte) []byte {
	var change carobchange.Change
	if json.Unmarshal(data, &change) != nil {
		return data
	}
	if revision := n.core.World().Profiles.Get(change.Profile.Name); revision != nil {
		change.Profile.Base = revision.Offset
	}
	rebased, err := json.Marshal(change)
	if err != nil {
		return data
	}
	return rebased
}

// withoutForeignClaims returns a record without its claims and settlements if another node
// or incarnation appended it.
func withoutForeignClaims(n *node, data []byte) []byte {
	var batch carobclaimbatch.Batch
	if json.Unmarshal(data, &batch) != nil || len(batch.Claims) == 0 || batch.Node == n.self.Node && batch.Incarnation == n.self.Incarnation {
		return data
	}
	batch.Claims, batch.Settlements = nil, nil
	changed, err := json.Marshal(batch)
	if err != nil {
		return data
	}
	return changed
}
