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

// task is an offer at the node of its target.
type task struct {
	offer   caroboffer.Offer
	body    string
	respond func(kind carobkind.Kind, status int, body string)
	started bool
	done    bool
}

// carryJobs carries out what was decided on jobs.
func (n *node) carryJobs(out *caroboutbox.Outbox) {
	for _, rp := range out.Reports {
		n.reports[rp.Target] = rp
	}
	for _, rf := range out.Refusals {
		if tk := n.tasks[rf.Job]; tk != nil && !tk.started {
			n.do(localTime, func() { n.answer(tk, rf.Kind, 0, "") })
		}
	}
	for _, st := range out.Starts {
		if tk := n.tasks[st.Job]; tk != nil {
			tk.started = true
			n.do(n.s.jitter(localTime), func() { n.run(tk, st) })
		}
	}
}

// offer hands a job to the control goroutine of the target's node.
func (n *node) offer(of caroboffer.Offer, body string, reply replier) {
	n.accept(of, body, reply)
}

// accept returns the task, so that the entry can give it up.
func (n *node) accept(of caroboffer.Offer, body string, reply replier) *task {
	tk := &task{offer: of, body: body, respond: func(kind carobkind.Kind, status int, body string) {
		var report *carobreport.Report
		if rp, ok := n.reports[of.Target]; ok {
			report = &rp
		}
		reply(kind, status, report, body)
	}}
	n.tasks[of.Job] = tk
	n.post(func(in *carobinbox.Inbox) { in.Offers = append(in.Offers, of) })
	n.do(of.TimeLeft, func() {
		if !tk.done {
			n.finish(tk, carobkind.Cancelled, 0)
			n.answer(tk, carobkind.ConnectionLost, 0, "")
		}
	})
	return tk
}

// abandon ends a task whose entry has hung up.
func (n *node) abandon(tk *task) {
	n.finish(tk, carobkind.Cancelled, 0)
	n.answer(tk, carobkind.Cancelled, 0, "")
}

// run sends a started job to its target.
func (n *node) run(tk *task, st carobstart.Start) {
	tg := n.s.targetAt(st.Address)
	if tk.done {
		return
	}
	if tg.down {
		n.finish(tk, carobkind.Unreachable, 0)
		n.answer(tk, carobkind.Unreachable, 0, "")
		return
	}
	tg.run(st.Job.Call.String(), tk.body, func(status int, body string) {
		n.do(localTime, func() {
			n.finish(tk, carobkind.None, status)
			n.answer(tk, carobkind.None, status, body)
		})
	})
}

func (n *node) finish(tk *task, kind carobkind.Kind, status int) {
	if !tk.done {
		n.post(func(in *carobinbox.Inbox) {
			in.Finishes = append(in.Finishes, carobfinish.Finish{Job: tk.offer.Job, Kind: kind, Status: status})
		})
	}
}

func (n *node) answer(tk *task, kind carobkind.Kind, status int, body string) {
	if tk.done {
		return
	}
	tk.done = true
	if n.tasks[tk.offer.Job] == tk {
		delete(n.tasks, tk.offer.Job)
	}
	tk.respond(kind, status, body)
}
