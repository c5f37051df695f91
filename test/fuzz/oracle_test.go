package fuzz

import (
	"encoding/json"
	"fmt"
	"time"
)

// oracle checks the guarantees against what callers, targets and the log observe. It shares
// no code with the product: times are virtual time since the start, ids are plain text.
type oracle struct {
	// violation describes the first violation of a guarantee; empty if there is none.
	violation string
	calls     map[string]*callHistory
	// keys counts the runs of each idempotency key of a service.
	keys map[string]int
	// leaving holds when the node of a target learned that the target is leaving.
	leaving map[string]time.Duration
	// accepted holds the changes of each profile that did not conflict, by offset.
	accepted map[string][]profileChange
	// inForce holds the offset of the revision in force, by node and profile.
	inForce map[string]int64
	// probeTraffic holds the load probes and reports that each node sent within budgetWindow.
	probeTraffic map[string][]probeBytes
	// starts holds when jobs started at each target within coldWindow.
	starts map[string][]time.Duration
	tally  tally
}

// callHistory records what happened to one call.
type callHistory struct {
	service, guarantee, key, body string
	// runs counts how often targets ran the call.
	runs int
	// refused is true if a target answered with status 503.
	refused bool
	// outcome is how the call ended for the caller; empty before.
	outcome string
}

// profileChange is an accepted change of a profile.
type profileChange struct {
	offset   int64
	deadline string
}

// probeBytes is the size of one load probe or report.
type probeBytes struct {
	at    time.Duration
	bytes int
}

// tally counts calls by outcome, runs of calls, and violations: calls that ran too often
// (Doubled), never ended (Lost), or got the body of another (Mixed). Gone counts calls
// whose caller or entry node went away. The summary prints the names of the fields.
type tally struct {
	Calls, Answered, NotRun, Unknown, Gone, Runs, Doubled, Lost, Mixed int
}

const (
	// maxLeavingDelay is the time within which all nodes stop sending to a leaving
	// target.
	maxLeavingDelay = 3 * time.Second
	// budgetWindow is the time over which the probe budget is checked.
	budgetWindow = time.Second
)

func newOracle() *oracle {
	return &oracle{
		calls: map[string]*callHistory{}, keys: map[string]int{}, leaving: map[string]time.Duration{},
		accepted: map[string][]profileChange{}, inForce: map[string]int64{}, probeTraffic: map[string][]probeBytes{},
		starts: map[string][]time.Duration{},
	}
}

// recordViolation keeps the first violation of a simulation.
func (o *oracle) recordViolation(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

// callArrived records a new call.
func (o *oracle) callArrived(call string, history callHistory) {
	o.tally.Calls++
	o.calls[call] = &history
}

// callRan records that a target began to run a call.
func (o *oracle) callRan(call, body string) {
	history := o.calls[call]
	history.runs++
	o.tally.Runs++
	if history.body != body {
		o.tally.Mixed++
		o.recordViolation("call %s ran with the body of another call: %q", call, body)
	}
	if history.outcome == "not-run" {
		o.recordViolation("call %s ended as not-run and runs afterwards", call)
	}
	if history.guarantee != "no" && history.runs > 1 {
		o.tally.Doubled++
		o.recordViolation("call %s of %s runs %d times", call, history.service, history.runs)
	}
	if history.guarantee == "key" && history.key != "" {
		o.keys[history.service+"/"+history.key]++
		if n := o.keys[history.service+"/"+history.key]; n > 1 {
			o.tally.Doubled++
			o.recordViolation("key %s of %s runs %d times, now by call %s", history.key, history.service, n, call)
		}
	}
}

// callEnded records the outcome that the caller received: answered, not-run or unknown; or
// gone if the caller or the entry node went away before.
func (o *oracle) callEnded(call, outcome, body string) {
	history := o.calls[call]
	if history.outcome != "" {
		o.recordViolation("call %s ended as %s and then as %s", call, history.outcome, outcome)
		return
	}
	history.outcome = outcome
	switch outcome {
	case "answered":
		o.checkAnswer(call, history, body)
	case "not-run":
		o.tally.NotRun++
		if history.runs > 0 {
			o.recordViolation("call %s ran and ended as not-run", call)
		}
	case "unknown":
		o.tally.Unknown++
	case "gone":
		o.tally.Gone++
	default:
		o.recordViolation("call %s ended with the undefined outcome %q", call, outcome)
	}
}

func (o *oracle) checkAnswer(call string, history *callHistory, body string) {
	o.tally.Answered++
	if body != history.body {
		o.tally.Mixed++
		o.recordViolation("call %s was answered with %q instead of %q", call, body, history.body)
	}
	if history.runs == 0 && !history.refused && (history.key == "" || o.keys[history.service+"/"+history.key] == 0) {
		o.recordViolation("call %s was answered but never ran", call)
	}
}

// concludedAgain checks a conclusion of a call that has ended already. This is correct
// only if the caller went away before.
func (o *oracle) concludedAgain(call string) {
	if history := o.calls[call]; history.outcome != "gone" {
		o.recordViolation("call %s ended as %s and is concluded again", call, history.outcome)
	}
}

// targetRefused records that a target answered a call with status 503.
func (o *oracle) targetRefused(call string) {
	o.calls[call].refused = true
}

// checkAllEnded checks that all calls have ended.
func (o *oracle) checkAllEnded() {
	for call, history := range o.calls {
		if history.outcome == "" {
			o.tally.Lost++
			o.recordViolation("call %s of %s never ended", call, history.service)
		}
	}
}

// learnedLeaving records that the node of a target received an announcement of whether the
// target is leaving.
func (o *oracle) learnedLeaving(target string, leaving bool, now time.Duration) {
	if _, known := o.leaving[target]; leaving && !known {
		o.leaving[target] = now
	}
	if !leaving {
		delete(o.leaving, target)
	}
}

// jobStarted checks the start of a job at the target's node.
func (o *oracle) jobStarted(target, job string) {
	if _, leaving := o.leaving[target]; leaving {
		o.recordViolation("job %s starts on leaving target %s", job, target)
	}
}

// attemptSent checks an attempt. connectedSince is the time from which on the entry node
// and the target's node have been connected.
func (o *oracle) attemptSent(target, job string, now, connectedSince time.Duration) {
	leavingSince, leaving := o.leaving[target]
	if leaving && now-max(leavingSince, connectedSince) > maxLeavingDelay {
		o.recordViolation("job %s is sent to %s, which has been leaving for %s", job, target, now-leavingSince)
	}
}

// profileAppended applies a record of the stream of profiles, and reports whether it is a
// change that is accepted.
func (o *oracle) profileAppended(offset int64, record []byte) (accepted bool) {
	var change struct {
		Profile struct {
			Name, Deadline string
			Base           int64
		}
	}
	if json.Unmarshal(record, &change) != nil || change.Profile.Name == "" {
		return false
	}
	current := int64(-1)
	if all := o.accepted[change.Profile.Name]; len(all) > 0 {
		current = all[len(all)-1].offset
	}
	if change.Profile.Base != current {
		return false
	}
	o.accepted[change.Profile.Name] = append(o.accepted[change.Profile.Name], profileChange{offset, change.Profile.Deadline})
	return true
}

// revisionInForce checks the revision of a profile that a node has in force.
func (o *oracle) revisionInForce(node, profile string, offset int64, deadline string) {
	key := node + "/" + profile
	if last, ok := o.inForce[key]; ok && offset < last {
		o.recordViolation("node %s returns from revision %d of %s to revision %d", node, last, profile, offset)
	}
	o.inForce[key] = offset
	for _, change := range o.accepted[profile] {
		if change.offset == offset && change.deadline == deadline {
			return
		}
	}
	o.recordViolation("node %s has revision %d of %s (%s) in force, which was never accepted", node, offset, profile, deadline)
}

// probeSent checks the bytes of load probes and reports within budgetWindow; budget is in
// bytes per second.
func (o *oracle) probeSent(node string, bytes int, now time.Duration, budget float64) {
	recent := append(o.probeTraffic[node], probeBytes{now, bytes})
	for now-recent[0].at >= budgetWindow {
		recent = recent[1:]
	}
	o.probeTraffic[node] = recent
	sum := 0
	for _, sent := range recent {
		sum += sent.bytes
	}
	if float64(sum) > budget*budgetWindow.Seconds() {
		o.recordViolation("node %s sends %d bytes of probes and reports within %s, its budget is %.0f bytes a second", node, sum, budgetWindow, budget)
	}
}
