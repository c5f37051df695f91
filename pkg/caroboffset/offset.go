// Package caroboffset numbers the records of a stream in the platform's log.
package caroboffset

// Offset is the place of a record in its stream. The first record has offset 0.
type Offset int64

// None stands before the first record.
const None Offset = -1
