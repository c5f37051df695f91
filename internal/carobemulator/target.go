package carobemulator

import (
	"net/http"
	"time"

	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// healthCheckTime is how long a health check takes.
const healthCheckTime = time.Millisecond

// target runs jobs. The slowness of the VM at the start of a job applies to the whole
// job.
type target struct {
	id    carobtargetid.ID
	slots int
	// paceFactor multiplies the time of all work.
	paceFactor float64
	running    int
	// slowFrom and slowUntil are the start and end of the current or next slow period.
	slowFrom, slowUntil carobinstant.Instant
}

// job is a started job at a target.
type job struct {
	node     int
	callKind int
	// deadline is when the target ends the job with status 504.
	deadline carobinstant.Instant
	// callsLeft is the number of nested calls that the job has still to make.
	callsLeft int
	// waiting is true while a nested call is in progress.
	waiting bool
	// status is the HTTP status of the response.
	status int
}

// slowness returns the factor by which work that starts now takes longer than usual
// on the target's VM. It draws the next slow period if the last one has ended.
func (e *Emulator) slowness(target *target) float64 {
	noise := e.scenario.Noise
	if noise.Factor <= 1 || noise.Interval <= 0 {
		return 1
	}
	for target.slowUntil <= e.now {
		target.slowFrom = max(target.slowUntil, startTime).Add(e.randomInterval(1 / (noise.Interval - noise.SlowPeriod).Duration().Seconds()))
		target.slowUntil = target.slowFrom.Add(noise.SlowPeriod.Duration()/2 + time.Duration(e.random.Int64N(int64(noise.SlowPeriod)+1)))
	}
	if target.slowFrom <= e.now {
		return noise.Factor
	}
	return 1
}

func (e *Emulator) targetLoad(node *node) *carobtargetload.TargetLoad {
	return &carobtargetload.TargetLoad{Running: node.target.running, Slots: node.target.slots, Slowness: e.slowness(&node.target)}
}

// startJob starts a job in a slot of the target. A job whose request has ended already
// is cancelled.
func (e *Emulator) startJob(node *node, start carobstart.Start) {
	request := e.requests.Get(e.requestOf(start.Job))
	if request == nil {
		e.enqueueInput(node.index, 0, func(in *carobinbox.Inbox) {
			in.Finishes = append(in.Finishes, carobfinish.Finish{Job: start.Job, Kind: carobkind.Cancelled})
		})
		return
	}
	node.target.running++
	callKind := &e.scenario.CallKinds[request.callKind]
	job := job{node: node.index, callKind: request.callKind, deadline: e.now.Add(start.TimeLeft), status: http.StatusOK}
	if e.random.Float64() < float64(callKind.NestedShare) {
		job.callsLeft = callKind.NestedCalls
	}
	const minWorkFactor = 0.2
	work := float64(callKind.Work) * max(minWorkFactor, 1+float64(callKind.Spread)*e.random.NormFloat64()) * e.slowness(&node.target) * node.target.paceFactor
	e.jobs.Put(start.Job, job)
	e.jobSchedule.Set(start.Job, carobinstant.Earlier(job.deadline, e.now.Add(time.Duration(work))))
}

// runJobs carries out the next step of each job that is due: its nested calls first,
// then its end.
func (e *Emulator) runJobs() {
	for id, ok := e.jobSchedule.Pop(e.now); ok; id, ok = e.jobSchedule.Pop(e.now) {
		job := e.jobs.Get(id)
		switch {
		case job.deadline.Reached(e.now):
			job.status = http.StatusGatewayTimeout
			e.endJob(id, job)
		case job.callsLeft > 0 && job.status == http.StatusOK:
			job.callsLeft--
			job.waiting = true
			e.jobSchedule.Set(id, job.deadline)
			e.startNestedCall(id, job)
		case !job.waiting:
			e.endJob(id, job)
		}
	}
}

// nestedCallEnded records the status of a job's nested call and resumes the job. Any
// status but 200 makes the job fail with status 500.
func (e *Emulator) nestedCallEnded(id carobjobid.ID, status int) {
	job := e.jobs.Get(id)
	if job == nil {
		return
	}
	job.waiting = false
	if status != http.StatusOK {
		job.status = http.StatusInternalServerError
	}
	e.jobSchedule.Set(id, e.now)
}

// endJob sends the response of a job and frees its slot.
func (e *Emulator) endJob(id carobjobid.ID, job *job) {
	node, status := e.nodes[job.node], job.status
	finish := carobfinish.Finish{Job: id, Status: status, TargetLoad: e.targetLoad(node)}
	node.target.running--
	e.jobs.Delete(id)
	e.sendReply(node, id, node.target.id, carobkind.None, status)
	e.enqueueInput(node.index, 0, func(in *carobinbox.Inbox) { in.Finishes = append(in.Finishes, finish) })
}

// stopJob ends a cancelled job without a response and frees its slot.
func (e *Emulator) stopJob(id carobjobid.ID) {
	job := e.jobs.Get(id)
	if job == nil {
		return
	}
	e.nodes[job.node].target.running--
	e.jobSchedule.Set(id, carobinstant.Never)
	e.jobs.Delete(id)
}
