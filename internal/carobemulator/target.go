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

// checkTime is how long a health check takes.
const checkTime = time.Millisecond

// target runs jobs. How long one takes is settled when it starts, by how slow the VM
// is then.
type target struct {
	id      carobtargetid.ID
	slots   int
	running int
	// slow and quick are when the next slow moment begins, and when it is over.
	slow, quick carobinstant.Instant
}

// job is a started job at a target.
type job struct {
	place int
	kind  int
	// deadline is when the target stops at the latest.
	deadline carobinstant.Instant
	// calls is how many calls the job has still to make.
	calls int
	// waiting says that a call of it is under way.
	waiting bool
	status  int
}

// slowness returns how much longer than usual work takes that starts now.
func (e *Emulator) slowness(tg *target) float64 {
	ns := e.scenario.Noise
	if ns.Factor <= 1 || ns.Every <= 0 {
		return 1
	}
	for tg.quick <= e.now {
		tg.slow = max(tg.quick, begin).Add(e.gap(1 / (ns.Every - ns.Lasting).Duration().Seconds()))
		tg.quick = tg.slow.Add(ns.Lasting.Duration()/2 + time.Duration(e.random.Int64N(int64(ns.Lasting)+1)))
	}
	if tg.slow <= e.now {
		return ns.Factor
	}
	return 1
}

func (e *Emulator) pressure(n *node) *carobtargetload.TargetLoad {
	return &carobtargetload.TargetLoad{Running: n.target.running, Slots: n.target.slots, Slowness: e.slowness(&n.target)}
}

// start runs a job.
func (e *Emulator) start(n *node, st carobstart.Start) {
	v := e.visits.Get(e.visitOf(st.Job))
	if v == nil {
		e.post(n.place, 0, func(in *carobinbox.Inbox) {
			in.Finishes = append(in.Finishes, carobfinish.Finish{Job: st.Job, Kind: carobkind.Cancelled})
		})
		return
	}
	n.target.running++
	kd := &e.scenario.Kinds[v.kind]
	jb := job{place: n.place, kind: v.kind, deadline: e.now.Add(st.TimeLeft), status: http.StatusOK}
	if e.random.Float64() < float64(kd.Share) {
		jb.calls = kd.Times
	}
	const least = 0.2
	work := float64(kd.Work) * max(least, 1+float64(kd.Spread)*e.random.NormFloat64()) * e.slowness(&n.target)
	e.jobs.Put(st.Job, jb)
	e.work.Set(st.Job, carobinstant.Earlier(jb.deadline, e.now.Add(time.Duration(work))))
}

// runJobs takes the next step of the jobs that are due.
func (e *Emulator) runJobs() {
	for id, ok := e.work.Pop(e.now); ok; id, ok = e.work.Pop(e.now) {
		jb := e.jobs.Get(id)
		switch {
		case jb.deadline.Reached(e.now):
			jb.status = http.StatusGatewayTimeout
			e.end(id, jb)
		case jb.calls > 0 && jb.status == http.StatusOK:
			jb.calls--
			jb.waiting = true
			e.work.Set(id, jb.deadline)
			e.callFrom(id, jb)
		case !jb.waiting:
			e.end(id, jb)
		}
	}
}

// called takes in how a call ended that a job made.
func (e *Emulator) called(id carobjobid.ID, status int) {
	jb := e.jobs.Get(id)
	if jb == nil {
		return
	}
	jb.waiting = false
	if status != http.StatusOK {
		jb.status = http.StatusInternalServerError
	}
	e.work.Set(id, e.now)
}

// end has a job answered.
func (e *Emulator) end(id carobjobid.ID, jb *job) {
	n, status := e.nodes[jb.place], jb.status
	fn := carobfinish.Finish{Job: id, Status: status, TargetLoad: e.pressure(n)}
	n.target.running--
	e.jobs.Delete(id)
	e.reply(n, id, n.target.id, carobkind.None, status)
	e.post(n.place, 0, func(in *carobinbox.Inbox) { in.Finishes = append(in.Finishes, fn) })
}

// stop ends a job whose answer nobody wants.
func (e *Emulator) stop(id carobjobid.ID) {
	jb := e.jobs.Get(id)
	if jb == nil {
		return
	}
	e.nodes[jb.place].target.running--
	e.work.Set(id, carobinstant.Never)
	e.jobs.Delete(id)
}
