// Package carobrequestid names the requests as their callers do.
package carobrequestid

// ID is the name that a caller gave its request. It is passed on unchanged and
// stands in logs; nothing is decided by it. It may be empty.
type ID string
