package carobstandtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
)

// beat announces the target once and waits until the next time, or until its
// behaviour changes.
func (t *Target) beat(cx context.Context, address carobaddress.Address) {
	bh, changed := t.now()
	switch {
	case bh.Freeze:
	case bh.Leave:
		t.announce(cx, address, carobreadiness.Leaving)
	default:
		t.announce(cx, address, carobreadiness.Ready)
	}
	pause, cancel := context.WithCancel(cx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-pause.Done():
		}
	}()
	_ = t.config.Timer.Wait(pause, heartbeat)
}

// leave announces the end, finishes what runs, and withdraws.
func (t *Target) leave(cx context.Context, address carobaddress.Address) error {
	last, cancel := context.WithTimeout(context.WithoutCancel(cx), 10*patience)
	defer cancel()
	t.announce(last, address, carobreadiness.Leaving)
	err := t.server.ShutdownWithContext(last)
	t.tell(last, http.MethodDelete, nil)
	return err
}

func (t *Target) announce(cx context.Context, address carobaddress.Address, state carobreadiness.Readiness) {
	data, err := json.Marshal(carobannouncement.Announcement{
		Address: address, Profile: t.config.Profile, Slots: t.config.Slots, Connections: t.config.Conns, Readiness: state,
	})
	if err == nil {
		t.tell(cx, http.MethodPut, data)
	}
}

// tell sends a word to the node. A word that gets lost is made up for by the
// next heartbeat.
func (t *Target) tell(cx context.Context, method string, data []byte) {
	cx, cancel := context.WithTimeout(cx, patience)
	defer cancel()
	path := "http://" + string(t.config.Admin) + "/targets/" + t.config.ID.String()
	rq, err := http.NewRequestWithContext(cx, method, path, bytes.NewReader(data))
	if err != nil {
		return
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.config.Logger.WithError(err).Warn("target: node cannot be told")
		return
	}
	_ = rs.Body.Close()
}
