// Package carobpendingheartbeat holds the rows of the heartbeats that await an answer.
package carobpendingheartbeat

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// PendingHeartbeat is a heartbeat to a peer that has not answered it yet.
type PendingHeartbeat struct {
	Node carobnodeid.ID
	// SentAt is when the heartbeat was sent.
	SentAt carobinstant.Instant
	// Relayed is true once other nodes were requested to relay the heartbeat.
	Relayed bool
}
