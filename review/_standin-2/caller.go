package main

import (
	"fmt"
	"time"
)

// caller plays the case of clients that send X-Caller-Service themselves.
func caller(r *rig) {
	entry := r.addNode(1, "seoul-a", "rota")
	desk := r.addNode(2, "seoul-b", "payout")
	entry.addServer("i-rota-1")
	s := desk.addServer("i-payout-1")
	r.putConfig(routes(7))
	r.awaitReady()
	time.Sleep(5 * time.Second)

	forms := []string{"", "X-Caller-Service: ledger\r\n"}
	if trouble {
		forms = append(forms,
			"X-Caller-Service: ledger\r\nX-Caller-Service: ledger\r\n",
			"X-Caller-Service: ledger\r\nConnection: keep-alive, X-Caller-Service\r\n")
	}
	missing, added, answered := 0, 0, 0
	for _, n := range []*node{entry, desk} {
		for form, more := range forms {
			for number := range 5 {
				id := fmt.Sprintf("p-%s-%d-%d", n.service, form, number)
				r.log("client at the machine of %s: sends payout %s with %q", n.service, id, more)
				_, status, err := n.ask(payoutRequest(id, more), 4*time.Second)
				r.log("client at the machine of %s: payout %s gets %d %v", n.service, id, status, err)
				if status == 200 {
					answered++
				}
				for _, run := range s.runsOf(id) {
					values := run.request.all("X-Caller-Service")
					if len(values) == 1 && values[0] == n.service {
						continue
					}
					if len(values) == 0 {
						missing++
					} else {
						added++
					}
					r.log("UNASKED: server %s ran %s, which began at the machine of %s, with X-Caller-Service %q", s.id, id, n.service, values)
				}
			}
		}
	}
	if answered < 20 {
		r.unable("only %d payouts were answered with 200", answered)
	}
	r.finish(missing+added > 0, "of %d payouts, %d ran without X-Caller-Service, and %d with a value of the client's beside or in place of their machine's service",
		answered, missing, added)
}
