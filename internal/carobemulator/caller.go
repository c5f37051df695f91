package carobemulator

import (
	"net/http"
	"time"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// maxWaitDivisor limits the wait before a retry to a third of the time left until
// the caller's deadline.
const maxWaitDivisor = 3

// request is a caller's request over all calls that the caller makes for it: the
// first one and its retries.
type request struct {
	// callKind and node index the call kinds of the scenario and the nodes of
	// the emulator.
	callKind int
	node     int
	// organisation indexes the organisations of the scenario, or is noOrganisation.
	organisation int
	// calledAt is when the newest call was made.
	calledAt carobinstant.Instant
	// arrivedAt is when the first call was made, and deadline when the caller gives up.
	arrivedAt, deadline carobinstant.Instant
	// retriesLeft is the number of retries that the caller may still make.
	retriesLeft int
	// call is the newest call.
	call carobcallid.ID
	// parent is the job that makes the request; zero for requests from outside.
	parent carobjobid.ID
}

// addArrivals starts the outside requests that are due and schedules the next one
// of each call kind.
func (e *Emulator) addArrivals() {
	for i, ok := e.arrivalSchedule.Pop(e.now); ok; i, ok = e.arrivalSchedule.Pop(e.now) {
		callKind := &e.scenario.CallKinds[i]
		e.arrivalSchedule.Set(i, e.now.Add(e.randomInterval(callKind.Rate*e.loadFactor())))
		e.addRequest(request{
			callKind: i, organisation: e.drawOrganisation(), node: e.random.IntN(len(e.nodes)), arrivedAt: e.now, deadline: e.now.Add(callKind.Deadline.Duration()), retriesLeft: callKind.Retries,
		})
	}
}

// noOrganisation stands for requests without an organisation.
const noOrganisation = -1

// weight returns the weight of an organisation now.
func (e *Emulator) weight(organisation int) float64 {
	weight := e.scenario.Organisations[organisation].Weight
	for _, surge := range e.scenario.Surges {
		if surge.Organisation == e.scenario.Organisations[organisation].Name {
			weight *= e.surgeFactor(surge.At.Duration(), surge.Duration.Duration(), surge.Factor)
		}
	}
	return weight
}

// surgeFactor returns the factor of a surge if the surge is on, and 1 otherwise.
func (e *Emulator) surgeFactor(at, duration time.Duration, factor float64) float64 {
	if begin := startTime.Add(warmUp + at); begin.Reached(e.now) && !begin.Add(duration).Reached(e.now) {
		return factor
	}
	return 1
}

// loadFactor returns by how much the load is higher now than usual.
func (e *Emulator) loadFactor() float64 {
	factor := 1.0
	for _, surge := range e.scenario.Surges {
		if surge.Organisation == "" {
			factor *= e.surgeFactor(surge.At.Duration(), surge.Duration.Duration(), surge.Factor)
		}
	}
	var usual, present float64
	for i := range e.scenario.Organisations {
		usual += e.scenario.Organisations[i].Weight
		present += e.weight(i)
	}
	if usual > 0 {
		factor *= present / usual
	}
	return factor
}

// drawOrganisation draws the organisation of a request from outside.
func (e *Emulator) drawOrganisation() int {
	if len(e.scenario.Organisations) == 0 {
		return noOrganisation
	}
	var sum float64
	for i := range e.scenario.Organisations {
		sum += e.weight(i)
	}
	point := e.random.Float64() * sum
	for i := range e.scenario.Organisations {
		if point -= e.weight(i); point < 0 {
			return i
		}
	}
	return len(e.scenario.Organisations) - 1
}

// startNestedCall has a job make a request at the node beside its target. The
// request ends with the job's deadline at the latest and is never retried.
func (e *Emulator) startNestedCall(id carobjobid.ID, parentJob *job) {
	callKind := &e.scenario.CallKinds[parentJob.callKind]
	for i := range e.scenario.CallKinds {
		if called := &e.scenario.CallKinds[i]; called.Name == callKind.NestedKind {
			deadline := carobinstant.Earlier(parentJob.deadline, e.now.Add(called.Deadline.Duration()))
			e.addRequest(request{callKind: i, organisation: noOrganisation, node: parentJob.node, arrivedAt: e.now, deadline: deadline, parent: id})
		}
	}
}

func (e *Emulator) addRequest(request request) {
	e.lastNumber++
	e.sendCall(e.lastNumber, e.requests.Put(e.lastNumber, request))
}

// sendCall sends the next call of a request to its entry node.
func (e *Emulator) sendCall(id uint64, request *request) {
	node := e.nodes[request.node]
	request.call = carobcallid.ID{Node: node.self.Node, Incarnation: node.self.Incarnation, Sequence: id<<counterBits | node.callCount%(1<<counterBits)}
	node.callCount++
	request.calledAt = e.now
	arrival := carobarrival.Arrival{Call: request.call, Host: host(request.callKind), Path: "/", Timeout: request.deadline.Sub(e.now)}
	if request.organisation != noOrganisation {
		name := e.scenario.Organisations[request.organisation].Name
		arrival.Credential = carobcredential.Credential{Key: carobkeydigest.Of([]byte(name)), Valid: true}
	}
	e.enqueueInput(request.node, 0, func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, arrival) })
}

// counterBits is the number of low bits of a call's sequence that hold the node's
// call counter; the bits above hold the number of the request.
const counterBits = 20

// requestOf returns the number of the request to which a job belongs.
func (e *Emulator) requestOf(id carobjobid.ID) uint64 {
	return id.Call.Sequence >> counterBits
}

// retryRequests sends the retries that are due.
func (e *Emulator) retryRequests() {
	for id, ok := e.retrySchedule.Pop(e.now); ok; id, ok = e.retrySchedule.Pop(e.now) {
		e.sendCall(id, e.requests.Get(id))
	}
}

// handleConclusion delivers the conclusion of a call to its caller, which retries
// or ends its request.
func (e *Emulator) handleConclusion(node *node, conclusion carobconclusion.Conclusion) {
	id := carobjobid.ID{Call: conclusion.Call, Attempt: conclusion.Attempt}
	request := e.requests.Get(e.requestOf(id))
	status := 0
	if conclusion.Kind == carobkind.None {
		status = node.statuses[id]
		e.enqueueInput(node.index, 0, func(in *carobinbox.Inbox) { in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{Job: id}) })
	}
	if request == nil || request.call != conclusion.Call {
		return
	}
	if e.scheduleRetry(e.requestOf(id), request, conclusion, status) {
		return
	}
	e.finishRequest(e.requestOf(id), request, conclusion.Kind, status)
}

// scheduleRetry schedules a retry if the request allows one, and reports whether it
// does. A request that is not idempotent is retried only if its call did not run.
func (e *Emulator) scheduleRetry(id uint64, request *request, conclusion carobconclusion.Conclusion, status int) bool {
	idempotent := e.scenario.CallKinds[request.callKind].Guarantee == carobguarantee.Idempotent
	timeLeft := request.deadline.Sub(e.now)
	if request.retriesLeft == 0 || timeLeft <= 0 || status == http.StatusOK || !idempotent && (conclusion.Kind == carobkind.None || !conclusion.Kind.NotRun()) {
		return false
	}
	wait := conclusion.RetryAfter
	if wait == 0 {
		wait = conclusion.Kind.RetryAfter()
	}
	request.retriesLeft--
	e.retrySchedule.Set(id, e.now.Add(min(wait, timeLeft/maxWaitDivisor)))
	return true
}

// finishRequest counts the result of a request and resumes the job that made it.
func (e *Emulator) finishRequest(id uint64, request *request, kind carobkind.Kind, status int) {
	duration := e.now.Sub(request.arrivedAt)
	if summary := e.summaries[request.callKind]; kind == carobkind.None {
		summary.AddAnswer(duration, status, true)
	} else {
		summary.AddError(duration, kind.Outcome(), kind)
	}
	key := tallyKey{request.callKind, request.organisation}
	tally := e.tallies[key]
	tally.Add(duration, e.now.Sub(request.calledAt), e.scenario.CallKinds[request.callKind].SLO.Duration(), kind == carobkind.None && status < http.StatusInternalServerError)
	e.tallies[key] = tally
	parent := request.parent
	e.requests.Delete(id)
	if parent != (carobjobid.ID{}) {
		e.nestedCallEnded(parent, status)
	}
}
