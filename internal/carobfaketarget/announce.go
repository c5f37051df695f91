package carobfaketarget

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
)

// sendHeartbeat announces the target once, then waits for heartbeatInterval or until
// the behaviour changes. A frozen target sends no announcement.
func (t *FakeTarget) sendHeartbeat(ctx context.Context, address carobaddress.Address) {
	behaviour, changed := t.currentBehaviour()
	switch {
	case behaviour.Freeze:
	case behaviour.Leave:
		t.announce(ctx, address, carobreadiness.Leaving)
	default:
		t.announce(ctx, address, carobreadiness.Ready)
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-waitCtx.Done():
		}
	}()
	_ = t.config.Timer.Wait(waitCtx, heartbeatInterval)
}

// shutDown announces that the target is leaving, waits for running calls to end and
// withdraws the target from its node. It returns an error if calls still run after
// ten times nodeTimeout.
func (t *FakeTarget) shutDown(ctx context.Context, address carobaddress.Address) error {
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*nodeTimeout)
	defer cancel()
	t.announce(shutdownCtx, address, carobreadiness.Leaving)
	err := t.server.ShutdownWithContext(shutdownCtx)
	t.sendToNode(shutdownCtx, http.MethodDelete, nil)
	return err
}

// announce sends an announcement with the given readiness to the node.
func (t *FakeTarget) announce(ctx context.Context, address carobaddress.Address, readiness carobreadiness.Readiness) {
	data, err := json.Marshal(carobannouncement.Announcement{
		Address: address, Profile: t.config.Profile, Slots: t.config.Slots, Connections: t.config.Connections, Readiness: readiness,
	})
	if err == nil {
		t.sendToNode(ctx, http.MethodPut, data)
	}
}

// sendToNode sends a request about the target to its node. It does not retry: after a
// lost request, the next heartbeat brings the node up to date.
func (t *FakeTarget) sendToNode(ctx context.Context, method string, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	url := "http://" + string(t.config.Admin) + "/targets/" + t.config.ID.String()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.config.Logger.WithError(err).Warn("target: node cannot be told")
		return
	}
	_ = resp.Body.Close()
}
