// Package carobpendingheartbeat holds the liveness probes that await an answer.
package carobpendingheartbeat

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// PendingHeartbeat is a probe of a peer that has not answered yet.
type PendingHeartbeat struct {
	Node carobnodeid.ID
	// SentAt is when the probe was sent.
	SentAt carobinstant.Instant
	// Relayed says that other nodes were requested to probe the peer too.
	Relayed bool
}
