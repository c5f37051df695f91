// Package caroboffset defines the offsets of records in a stream of the platform's
// log.
package caroboffset

// Offset is the position of a record in its stream. The first record has offset 0.
type Offset int64

// BeforeFirst is the position before the first record: no record has been read or
// written.
const BeforeFirst Offset = -1
