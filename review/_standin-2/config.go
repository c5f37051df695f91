package main

import "fmt"

// routes is the operator's config of all cases: turns are read from the service rota, and
// payouts are recorded at the service payout.
func routes(version int) string {
	return fmt.Sprintf(`{"version":"%08x","services":[`+
		`{"name":"rota","health-path":"/health","max-connections":260,"protocol":"h1","tls":false},`+
		`{"name":"payout","health-path":"/health","max-connections":260,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"base-version":"00000001",`+
		`"virtual-hosts":[{"host":"members.example","paths":[`+
		`{"name":"r-turn","path-prefix":"/turn/","kind":"safe","timeout-s":1.2,"target-latency-s":0.6,"priority":2,"service":"rota","max-attempts":2},`+
		`{"name":"r-post","path-prefix":"/payout/","kind":"unsafe","timeout-s":1.5,"target-latency-s":0.8,"priority":1,"service":"payout","max-attempts":2}]}]}`, version)
}

// payoutRequest is a client's request to record a payout. more holds further header fields.
func payoutRequest(id, more string) string {
	return "POST /payout/" + id + " HTTP/1.1\r\nHost: members.example\r\nX-Request-Id: " + id +
		"\r\nX-Deadline-Ms: 3000\r\n" + more + "Content-Length: 6\r\n\r\npayout"
}
