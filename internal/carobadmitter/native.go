package carobadmitter

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// native is the system's own way to speak to targets.
type native struct{}

// Ask adds the time left, the call's id and its trace.
func (native) Ask(rq *fasthttp.Request, st *carobstart.Start, _ carobtargetid.ID) {
	const base = 10
	rq.Header.Set(carobheader.Deadline, strconv.FormatInt(max(1, int64(st.TimeLeft/time.Millisecond)), base))
	rq.Header.Set(carobheader.Call, st.Job.Call.String())
	if st.Traceparent != "" {
		rq.Header.Set(carobheader.Trace, st.Traceparent)
	}
}

// Check asks nothing: targets do not tell how slow their VMs are.
func (native) Check(*fasthttp.Request, carobaddress.Address) {}

// Identity reads nothing.
func (native) Identity(*fasthttp.Response) (carobname.Name, int) { return "", 0 }

// Judge takes every answer for the call's.
func (native) Judge(*fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad) {
	return carobkind.None, nil
}
