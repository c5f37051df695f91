// Package carobprobing probes targets whose load report is too old, within the
// probe limits. Most reports need no probe: they are attached to replies.
package carobprobing

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobloadprobe"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtokenbucket"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Keys of the probe limits in World.ProbeBuckets.
const (
	// BytesBucket is the bucket of the bytes sent for probes and reports.
	BytesBucket carobname.Name = "bytes"
	// CPUTimeBucket is the bucket of the processor time spent on probes and reports, in seconds.
	CPUTimeBucket carobname.Name = "time"
)

const (
	// messageOverhead and cpuPerMessage are the fixed cost of a probe or a
	// report in bytes and processor time: the frames, headers and tags of the
	// request and of the response to it. Both are set above the real cost, so
	// that what is really spent stays below the cap.
	messageOverhead = 400
	cpuPerMessage   = 300 * time.Microsecond
	// inUsePeriod is how long a target counts as in use after it was last a
	// candidate for a call.
	inUsePeriod = time.Second
	// scanInterval is the interval between scans for old reports while targets
	// are in use.
	scanInterval = 50 * time.Millisecond
	// probeTimeout is the time after which a probe without a report is sent
	// again.
	probeTimeout = time.Second
	// latencyDecay is the time constant of the exponential decay of the latency
	// of a target without calls.
	latencyDecay = 1500 * time.Millisecond
)

// System sends probes and answers those of other nodes. A probe or report that
// exceeds the limits is dropped instead of delayed, since it would be out of
// date by the time it was sent.
type System struct {
	// nextScan is when reports are scanned next; Never while no target is in
	// use.
	nextScan carobinstant.Instant
	// started is true after the first tick.
	started bool
}

// NewSystem returns a System whose first scan is due at once.
func NewSystem() *System {
	return &System{}
}

// Run answers the probes and stores the reports in the inbox. If a scan is due,
// it probes the target with the oldest report.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if !s.started {
		s.started = true
		// The process before this one may have spent all of the last second's bytes.
		world.ProbeBytes.Add(now, float64(world.ProbeLimits.BytesPerSecond))
	}
	for _, message := range world.Inbox.Messages {
		switch {
		case message.LoadProbe != nil:
			sendReport(world, now, message)
		case message.Report != nil:
			storeReport(world, now, message.Report)
		}
	}
	if s.nextScan != carobinstant.Never && !s.nextScan.Reached(now) {
		world.WakeAt(s.nextScan)
		return
	}
	s.nextScan = carobinstant.Never
	if s.probeOldest(world, now) {
		s.nextScan = now.Add(scanInterval)
		world.WakeAt(s.nextScan)
	}
}

// sendReport answers a probe of one of this node's own targets.
func sendReport(world *carobworld.World, now carobinstant.Instant, message carobmessage.Message) {
	target, state := world.Targets.Get(message.LoadProbe.Target), world.AdmissionStates.Get(message.LoadProbe.Target)
	if target == nil || state == nil || !world.Owns(target) || !takeFromBuckets(world, now, target.ID) {
		return
	}
	world.SendMessage(carobmessage.Message{To: message.ReplyTo, Report: &carobreport.Report{
		Target: target.ID, Running: state.Running, Queued: state.Queued, Slots: max(state.Limit, 1),
		Latency: carobduration.Duration(decayedLatency(state, now)),
	}})
}

// decayedLatency returns a target's latency. It decays while the target has no
// calls; otherwise a target that was slow once would never be picked again.
func decayedLatency(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) time.Duration {
	return time.Duration(float64(state.Latency) * math.Exp(-float64(state.LatencyAge(now))/float64(latencyDecay)))
}

// storeReport replaces the report of a target whose load is tracked.
func storeReport(world *carobworld.World, now carobinstant.Instant, report *carobreport.Report) {
	if load := world.Loads.Get(report.Target); load != nil {
		load.Report, load.ReportedAt, load.SentSinceReport = *report, now, 0
	}
}

// probeOldest probes, of the targets in use that need a probe, the one with the
// oldest report. It returns whether any target is in use.
func (s *System) probeOldest(world *carobworld.World, now carobinstant.Instant) bool {
	var oldest carobtargetid.ID
	var chosen *carobload.Load
	inUse := false
	for id, load := range world.Loads.All() {
		if load.LastCandidateAt == carobinstant.Never || now.Sub(load.LastCandidateAt) > inUsePeriod {
			continue
		}
		inUse = true
		if needsProbe(world, now, id, load) && (chosen == nil || load.ReportedAt < chosen.ReportedAt) {
			oldest, chosen = id, load
		}
	}
	if chosen != nil {
		sendProbe(world, now, oldest, chosen)
	}
	return inUse
}

// needsProbe reports whether a target's report is older than the profile allows
// and no probe is pending.
func needsProbe(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, load *carobload.Load) bool {
	profile := world.ProfileOf(id.Service)
	if profile == nil || profile.ReportAgeLimit <= 0 || now.Sub(load.ReportedAt) < profile.ReportAgeLimit.Duration() {
		return false
	}
	return load.ProbedAt == carobinstant.Never || now.Sub(load.ProbedAt) > probeTimeout || load.ReportedAt > load.ProbedAt
}

// sendProbe probes the target of another node if the limits allow it.
func sendProbe(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, load *carobload.Load) {
	target := world.Targets.Get(id)
	if target == nil || world.Owns(target) {
		return
	}
	peer := world.Peers.Get(target.Node)
	if peer == nil || !takeFromBuckets(world, now, id) {
		return
	}
	load.ProbedAt = now
	world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress, LoadProbe: &carobloadprobe.LoadProbe{Target: id}})
}

// takeFromBuckets takes the cost of one message from both buckets, or from neither
// if one of them has too little.
func takeFromBuckets(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) bool {
	bytes, seconds := bucketOf(world, BytesBucket), bucketOf(world, CPUTimeBucket)
	if bytes == nil || seconds == nil {
		return false
	}
	size := MessageBytes(world, id)
	refill(bytes, now, float64(world.ProbeLimits.BytesPerSecond), size)
	refill(seconds, now, float64(world.ProbeLimits.CPUShare), cpuPerMessage.Seconds())
	if bytes.Tokens < size || seconds.Tokens < cpuPerMessage.Seconds() || !world.ProbeBytes.Fits(now, size, float64(world.ProbeLimits.BytesPerSecond)) {
		bytes.Denied++
		return false
	}
	world.ProbeBytes.Add(now, size)
	return bytes.Take(size) && seconds.Take(cpuPerMessage.Seconds())
}

// refill refills a bucket that holds at most one message. The size of that
// message is subtracted from the rate, so that no second exceeds the rate if all
// messages have the same size; World.ProbeBytes holds it for those that differ. A
// rate below two messages a second is halved instead, which keeps longer
// periods below the cap. If the rate is below one message a second, the bucket
// stays empty.
func refill(bucket *carobtokenbucket.TokenBucket, now carobinstant.Instant, rate, size float64) {
	if rate < size {
		return
	}
	bucket.Fill(now, max(rate-size, rate/2), size)
}

// MessageBytes returns the bytes that a probe of a target, or the report that answers
// it, takes from BytesBucket.
func MessageBytes(world *carobworld.World, id carobtargetid.ID) float64 {
	return float64(messageOverhead + len(world.Self.Node) + len(world.Self.PeerAddress) + len(id.Service) + len(id.Name))
}

// bucketOf returns a bucket and adds it if it is missing, or returns nil if the
// table is full.
func bucketOf(world *carobworld.World, name carobname.Name) *carobtokenbucket.TokenBucket {
	if bucket := world.ProbeBuckets.Get(name); bucket != nil {
		return bucket
	}
	return world.ProbeBuckets.Put(name, carobtokenbucket.TokenBucket{})
}
