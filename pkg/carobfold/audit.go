package carobfold

import (
	"fmt"

	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// addAudit records in the audit trail that a revision has come into force on this
// node.
func addAudit(world *carobworld.World, revision carobrevision.Revision) {
	from := "none"
	if revision.Change.Profile.Base != caroboffset.BeforeFirst {
		from = revisionText(revision.Change.Profile.Base)
	}
	world.Outbox.Audits = append(world.Outbox.Audits, carobaudit.Audit{
		Who: revision.Change.Who, Component: "profile", What: string(revision.Change.Profile.Name),
		From: from, To: revisionText(revision.Offset), LocalOnly: true,
	})
}

// revisionText returns the name of a revision in the audit trail.
func revisionText(offset caroboffset.Offset) string {
	return fmt.Sprintf("revision %d", offset)
}
