package main

import (
	"strings"
	"time"
)

func init() { cases["config"] = playConfig }

// playConfig changes the config: one route is added, one moves to another service.
func playConfig(rec *record, trouble bool) (bool, error) {
	s, err := newStage(rec, []string{board, desk, vault})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.run(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	attempts := "2"
	if trouble {
		attempts = "12"
	}
	added := `{"host":"new7.example","paths":[{"name":"r-new","path-prefix":"/added/","kind":"safe","timeout-s":2.5,"target-latency-s":0.6,"priority":2,"service":"rota-board","max-attempts":` + attempts + `}]}`
	moved := strings.Replace(standardRoutes(), `"service":"payout-desk"`, `"service":"rota-board"`, 1)
	s.putConfig(5, moved, added)
	time.Sleep(3 * time.Second)
	wrong := 0
	for _, entry := range s.nodes {
		c := &client{address: entry.outbound, record: rec}
		for range 5 {
			if one, err := c.call("GET", "new7.example", "/added/2f", "", "", 2*time.Second); err == nil && one.status == 404 {
				wrong++
			}
			if one, err := c.call("POST", unsafeHost, unsafePath+"2f", "", "x", 2*time.Second); err == nil && s.servers[1].runsOf(one.id) > 0 {
				wrong++
			}
		}
		c.close()
	}
	rec.add("count: %d requests sent 3 s after the ack were handled as only the older config allows", wrong)
	return wrong > 0, nil
}
