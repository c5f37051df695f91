package carobfold

import (
	"fmt"

	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// audit notes that a revision is in force on this node from now on.
func audit(w *carobworld.World, rv carobrevision.Revision) {
	from := "none"
	if rv.Change.Profile.Base != caroboffset.None {
		from = revision(rv.Change.Profile.Base)
	}
	w.Outbox.Audits = append(w.Outbox.Audits, carobaudit.Audit{
		Who: rv.Change.Who, Part: "profile", What: string(rv.Change.Profile.Name),
		From: from, To: revision(rv.Offset), Local: true,
	})
}

func revision(offset caroboffset.Offset) string {
	return fmt.Sprintf("revision %d", offset)
}
