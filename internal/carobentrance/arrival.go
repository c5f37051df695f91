package carobentrance

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// maxPatience is more than any caller waits, and far from overflowing.
const maxPatience = 24 * time.Hour

// parseArrival checks the header of a call and reads what the control goroutine
// needs of it.
func parseArrival(call carobcallid.ID, hd *fasthttp.RequestHeader) (carobarrival.Arrival, error) {
	ar := carobarrival.Arrival{Call: call}
	if err := carobheader.Check(hd); err != nil {
		return ar, err
	}
	ar.Key, ar.Traceparent = string(hd.Peek(carobheader.Key)), string(hd.Peek(carobheader.Trace))
	var err error
	if ar.Service, err = parseService(string(hd.Host())); err != nil {
		return ar, err
	}
	ar.Timeout, err = parsePatience(string(hd.Peek(carobheader.Deadline)))
	return ar, err
}

// parseService reads the name of the service from a Host header.
func parseService(host string) (carobservice.Service, error) {
	name, port, found := strings.Cut(host, ":")
	if found {
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return "", carobkind.New(carobkind.Invalid, "the Host header's port is not a port")
		}
	}
	sv := carobservice.Service(name)
	return sv, sv.Check()
}

func parsePatience(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms < 1 {
		return 0, carobkind.New(carobkind.Invalid, "%s is not a number of milliseconds above 0", carobheader.Deadline)
	}
	return min(time.Duration(ms)*time.Millisecond, maxPatience), nil
}
