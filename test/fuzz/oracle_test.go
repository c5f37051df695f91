package fuzz

import (
	"encoding/json"
	"fmt"
	"time"
)

// oracle holds what must always be true. It counts what callers, targets and
// the log saw and shares no code with the product: times are nanoseconds of the
// simulation, ids are plain text.
type oracle struct {
	// broken is the first promise found broken.
	broken string
	calls  map[string]*history
	// keys counts the runs of each idempotency key of a service.
	keys map[string]int
	// leaving has since when a target's node knows that the target leaves.
	leaving map[string]time.Duration
	// accepted has the winning changes of each profile, by offset.
	accepted map[string][]change
	// force has the newest offset that each node has had in force.
	force map[string]int64
	// spent has the recent bytes of measuring of each node.
	spent map[string][]expense
	tally tally
}

// history is what happened to one call.
type history struct {
	service, once, key, body string
	runs                     int
	refused                  bool
	outcome                  string
}

type change struct {
	offset   int64
	deadline string
}

type expense struct {
	at    time.Duration
	bytes int
}

// tally counts for the report.
type tally struct {
	Calls, Answered, NotRun, Unknown, Gone, Runs, Doubled, Lost, Mixed int
}

const (
	leavingBound = 3 * time.Second
	window       = time.Second
)

func newOracle() *oracle {
	return &oracle{
		calls: map[string]*history{}, keys: map[string]int{}, leaving: map[string]time.Duration{},
		accepted: map[string][]change{}, force: map[string]int64{}, spent: map[string][]expense{},
	}
}

func (o *oracle) complain(format string, args ...any) {
	if o.broken == "" {
		o.broken = fmt.Sprintf(format, args...)
	}
}

// came notes a new call.
func (o *oracle) came(call string, h history) {
	o.tally.Calls++
	o.calls[call] = &h
}

// ran notes that a target began to run a call.
func (o *oracle) ran(call, body string) {
	h := o.calls[call]
	h.runs++
	o.tally.Runs++
	if h.body != body {
		o.tally.Mixed++
		o.complain("call %s ran with the body of another: %q", call, body)
	}
	if h.outcome == "not-run" {
		o.complain("call %s was told not-run and runs after all", call)
	}
	if h.once != "no" && h.runs > 1 {
		o.tally.Doubled++
		o.complain("call %s of %s runs %d times", call, h.service, h.runs)
	}
	if h.once == "key" && h.key != "" {
		o.keys[h.service+"/"+h.key]++
		if n := o.keys[h.service+"/"+h.key]; n > 1 {
			o.tally.Doubled++
			o.complain("key %s of %s runs %d times, now by call %s", h.key, h.service, n, call)
		}
	}
}

// told notes what the caller learned: answered, not-run, unknown, or gone if
// nobody could tell it any more.
func (o *oracle) told(call, outcome, body string) {
	h := o.calls[call]
	if h.outcome != "" {
		o.complain("call %s was told %s and then %s", call, h.outcome, outcome)
		return
	}
	h.outcome = outcome
	switch outcome {
	case "answered":
		o.answered(call, h, body)
	case "not-run":
		o.tally.NotRun++
		if h.runs > 0 {
			o.complain("call %s ran and was told not-run", call)
		}
	case "unknown":
		o.tally.Unknown++
	case "gone":
		o.tally.Gone++
	default:
		o.complain("call %s was told %q", call, outcome)
	}
}

func (o *oracle) answered(call string, h *history, body string) {
	o.tally.Answered++
	if body != h.body {
		o.tally.Mixed++
		o.complain("call %s got the answer %q, its own is %q", call, body, h.body)
	}
	if h.runs == 0 && !h.refused && (h.key == "" || o.keys[h.service+"/"+h.key] == 0) {
		o.complain("call %s was answered and never ran", call)
	}
}

// again notes that a call was concluded of which the caller is told already.
func (o *oracle) again(call string) {
	if h := o.calls[call]; h.outcome != "gone" {
		o.complain("call %s was told %s and is concluded again", call, h.outcome)
	}
}

// replied notes that a target refused a call by itself.
func (o *oracle) replied(call string) {
	o.calls[call].refused = true
}

// settled checks that no caller was left without a word.
func (o *oracle) settled() {
	for call, h := range o.calls {
		if h.outcome == "" {
			o.tally.Lost++
			o.complain("call %s of %s was never told anything", call, h.service)
		}
	}
}

// knows notes that a target's node has heard whether the target leaves.
func (o *oracle) knows(target string, leaving bool, now time.Duration) {
	if _, known := o.leaving[target]; leaving && !known {
		o.leaving[target] = now
	}
	if !leaving {
		delete(o.leaving, target)
	}
}

// started checks a start that a target's node decided.
func (o *oracle) started(target, job string) {
	if _, leaving := o.leaving[target]; leaving {
		o.complain("job %s starts on leaving target %s", job, target)
	}
}

// sent checks an attempt; joined is since when its ends reach each other.
func (o *oracle) sent(target, job string, now, joined time.Duration) {
	since, leaving := o.leaving[target]
	if leaving && now-max(since, joined) > leavingBound {
		o.complain("job %s is sent to %s, which has been leaving for %s", job, target, now-since)
	}
}

// appended folds a record of the stream of profiles.
func (o *oracle) appended(offset int64, record []byte) (won bool) {
	var ch struct {
		Profile struct {
			Name, Deadline string
			Base           int64
		}
	}
	if json.Unmarshal(record, &ch) != nil || ch.Profile.Name == "" {
		return false
	}
	current := int64(-1)
	if all := o.accepted[ch.Profile.Name]; len(all) > 0 {
		current = all[len(all)-1].offset
	}
	if ch.Profile.Base != current {
		return false
	}
	o.accepted[ch.Profile.Name] = append(o.accepted[ch.Profile.Name], change{offset, ch.Profile.Deadline})
	return true
}

// holds checks the revision that a node has in force.
func (o *oracle) holds(node, profile string, offset int64, deadline string) {
	key := node + "/" + profile
	if last, ok := o.force[key]; ok && offset < last {
		o.complain("node %s goes back from revision %d of %s to %d", node, last, profile, offset)
	}
	o.force[key] = offset
	for _, ch := range o.accepted[profile] {
		if ch.offset == offset && ch.deadline == deadline {
			return
		}
	}
	o.complain("node %s has revision %d of %s (%s) in force, which was never accepted", node, offset, profile, deadline)
}

// measured checks the bytes of measuring in every window.
func (o *oracle) measured(node string, bytes int, now time.Duration, budget float64) {
	spent := append(o.spent[node], expense{now, bytes})
	for now-spent[0].at >= window {
		spent = spent[1:]
	}
	o.spent[node] = spent
	sum := 0
	for _, ex := range spent {
		sum += ex.bytes
	}
	if float64(sum) > budget*window.Seconds() {
		o.complain("node %s spends %d bytes on measuring within %s, its budget is %.0f", node, sum, window, budget)
	}
}
