package carobfrontend

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

// maxTimeout caps the timeout of a call. No caller waits longer, and the sum of an
// instant and maxTimeout is far from overflowing.
const maxTimeout = 24 * time.Hour

// parseArrival checks the header of a call and returns the fields that the
// control goroutine needs. It returns an error of kind Invalid if the header is
// malformed.
func parseArrival(call carobcallid.ID, header *fasthttp.RequestHeader) (carobarrival.Arrival, error) {
	arrival := carobarrival.Arrival{Call: call}
	if err := carobheader.Check(header); err != nil {
		return arrival, err
	}
	arrival.Key, arrival.Traceparent = string(header.Peek(carobheader.IdempotencyKey)), string(header.Peek(carobheader.TraceContext))
	var err error
	if arrival.Service, err = parseService(string(header.Host())); err != nil {
		return arrival, err
	}
	arrival.Timeout, err = parseTimeout(string(header.Peek(carobheader.Deadline)))
	return arrival, err
}

// parseService returns the service that a Host header names, without the port.
func parseService(host string) (carobservice.Service, error) {
	name, port, found := strings.Cut(host, ":")
	if found {
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return "", carobkind.New(carobkind.Invalid, "the port of the Host header is not a number from 1 to 65535")
		}
	}
	service := carobservice.Service(name)
	return service, service.Check()
}

// parseTimeout parses a number of milliseconds. It returns at most maxTimeout, and
// 0 if text is empty.
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseUint(text, 10, 31)
	if err != nil || millis < 1 {
		return 0, carobkind.New(carobkind.Invalid, "%s is not a number of milliseconds from 1 to 2147483647", carobheader.Deadline)
	}
	return min(time.Duration(millis)*time.Millisecond, maxTimeout), nil
}
