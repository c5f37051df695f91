package fuzz

import (
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobstart"
)

// targetJob is a job at the node of its target, from the offer to the reply.
type targetJob struct {
	offer caroboffer.Offer
	body  string
	// respond sends the reply to the entry node.
	respond func(kind carobkind.Kind, status int, body string)
	started bool
	done    bool
}

// applyJobEffects carries out the effects of a tick that concern jobs.
func (n *node) applyJobEffects(out *caroboutbox.Outbox) {
	for _, report := range out.Reports {
		n.reports[report.Target] = report
	}
	for _, refusal := range out.Refusals {
		if job := n.jobs[refusal.Job]; job != nil && !job.started {
			n.after(localDelay, func() { n.replyToEntry(job, refusal.Kind, 0, "") })
		}
	}
	for _, start := range out.Starts {
		if job := n.jobs[start.Job]; job != nil {
			job.started = true
			n.after(n.sim.jitter(localDelay), func() { n.runJob(job, start) })
		}
	}
}

// offerLocally offers a job to this node, which is also the entry node.
func (n *node) offerLocally(offer caroboffer.Offer, body string, reply replyFunc) {
	n.acceptOffer(offer, body, reply)
}

// acceptOffer passes an offer to the control goroutine. It returns the job, so that the
// entry node can cancel it.
func (n *node) acceptOffer(offer caroboffer.Offer, body string, reply replyFunc) *targetJob {
	job := &targetJob{offer: offer, body: body, respond: func(kind carobkind.Kind, status int, body string) {
		var report *carobreport.Report
		if rp, ok := n.reports[offer.Target]; ok {
			report = &rp
		}
		reply(kind, status, report, body)
	}}
	n.jobs[offer.Job] = job
	n.enqueue(func(in *carobinbox.Inbox) { in.Offers = append(in.Offers, offer) })
	n.after(offer.TimeLeft, func() {
		if !job.done {
			n.finishJob(job, carobkind.Cancelled, 0)
			n.replyToEntry(job, carobkind.ConnectionLost, 0, "")
		}
	})
	return job
}

// cancelJob ends a job whose entry node has cancelled the attempt.
func (n *node) cancelJob(job *targetJob) {
	n.finishJob(job, carobkind.Cancelled, 0)
	n.replyToEntry(job, carobkind.Cancelled, 0, "")
}

// runJob sends a started job to its target.
func (n *node) runJob(job *targetJob, start carobstart.Start) {
	target := n.sim.targetAt(start.Address)
	if job.done {
		return
	}
	if target.down {
		n.finishJob(job, carobkind.Unreachable, 0)
		n.replyToEntry(job, carobkind.Unreachable, 0, "")
		return
	}
	if n.sim.operator != nil {
		n.sim.operator.oracle.ran(start.Job.Call.String(), string(start.Organisation))
	}
	target.run(start.Job.Call.String(), job.body, func(status int, body string) {
		n.after(localDelay, func() {
			n.finishJob(job, carobkind.None, status)
			n.replyToEntry(job, carobkind.None, status, body)
		})
	})
}

// finishJob reports the end of a job to the control goroutine, once.
func (n *node) finishJob(job *targetJob, kind carobkind.Kind, status int) {
	if !job.done {
		n.enqueue(func(in *carobinbox.Inbox) {
			in.Finishes = append(in.Finishes, carobfinish.Finish{Job: job.offer.Job, Kind: kind, Status: status})
		})
	}
}

// replyToEntry sends the reply of a job to its entry node, once.
func (n *node) replyToEntry(job *targetJob, kind carobkind.Kind, status int, body string) {
	if job.done {
		return
	}
	job.done = true
	if n.jobs[job.offer.Job] == job {
		delete(n.jobs, job.offer.Job)
	}
	job.respond(kind, status, body)
}
