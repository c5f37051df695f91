package caroblogwriter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
)

// buffer collects the entries of a stream until they are appended to the log. They
// are compressed in batches: a batch is a gzip file of JSON lines, a header and one
// line for each entry. Concatenated batches are a valid gzip file too; a record of
// the stream is one or more of them.
type buffer struct {
	self carobmember.Member
	// maxSize limits the total size of the compressed batches, in bytes.
	maxSize int
	// lines holds the entries that are not in a batch yet.
	lines [][]byte
	// pendingSince is when due was first called with something to append after the newest
	// batch was made, or Never.
	pendingSince carobinstant.Instant
	// batches are ordered from the oldest to the newest; size is their total size in
	// bytes.
	batches []batch
	size    int
	// inFlight is how many of the oldest batches are being appended. They cannot be
	// dropped.
	inFlight int
	// number is the number of the newest batch.
	number uint64
	// dropped counts all dropped entries; reported is how many of them the headers
	// of batches have reported.
	dropped, reported int
	// lastAppend is when the newest append was started, or Never.
	lastAppend carobinstant.Instant
}

// batch holds compressed entries.
type batch struct {
	data    []byte
	entries int
}

// header is the first line of a batch.
type header struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Number identifies the batch among those of the node's incarnation, so that
	// readers recognise one that was appended twice.
	Number  uint64 `json:"pack"`
	Entries int    `json:"entries"`
	// Dropped is how many entries were dropped since the previous batch.
	Dropped int `json:"lost"`
}

// maxBatchEntries is the number of entries at which a batch is compressed.
const maxBatchEntries = 1000

func newBuffer(c Config) *buffer {
	return &buffer{self: c.Self, maxSize: int(c.MaxBufferedSize)}
}

// add adds an entry.
func (b *buffer) add(entry any) {
	line, err := json.Marshal(entry)
	if err != nil {
		b.dropped++
		return
	}
	b.lines = append(b.lines, line)
	if len(b.lines) >= maxBatchEntries {
		b.compress()
	}
}

// compress makes a batch of the entries that are not in a batch yet. While the batches
// exceed maxSize, it drops the oldest that is not being appended.
func (b *buffer) compress() {
	if len(b.lines) == 0 {
		return
	}
	b.number++
	head, err := json.Marshal(header{
		Node: string(b.self.Node), Incarnation: uint64(b.self.Incarnation),
		Number: b.number, Entries: len(b.lines), Dropped: b.dropped - b.reported,
	})
	if err != nil {
		return
	}
	b.reported = b.dropped
	var data bytes.Buffer
	compressor := gzip.NewWriter(&data)
	for _, line := range append([][]byte{head}, b.lines...) {
		_, _ = compressor.Write(line)
		_, _ = compressor.Write([]byte("\n"))
	}
	_ = compressor.Close()
	b.batches = append(b.batches, batch{data: data.Bytes(), entries: len(b.lines)})
	b.size += data.Len()
	b.lines, b.pendingSince = nil, carobinstant.Never
	for b.size > b.maxSize && len(b.batches) > b.inFlight {
		b.drop(b.inFlight)
	}
}

func (b *buffer) drop(index int) {
	b.dropped += b.batches[index].entries
	b.size -= len(b.batches[index].data)
	b.batches = append(b.batches[:index], b.batches[index+1:]...)
}

// due returns when the next append is due, or Never if there is nothing to append.
func (b *buffer) due(now carobinstant.Instant) carobinstant.Instant {
	if len(b.lines) == 0 && len(b.batches) == 0 {
		return carobinstant.Never
	}
	if b.pendingSince == carobinstant.Never {
		b.pendingSince = now
	}
	earliest := b.pendingSince.Add(linger)
	if b.lastAppend == carobinstant.Never {
		return earliest
	}
	return max(earliest, b.lastAppend.Add(appendInterval))
}

// nextRecord returns the next record to append. endAppend has to follow.
func (b *buffer) nextRecord(now carobinstant.Instant) []byte {
	b.compress()
	b.lastAppend = now
	var data []byte
	for b.inFlight = 0; b.inFlight < len(b.batches) && len(data) < recordSize; b.inFlight++ {
		data = append(data, b.batches[b.inFlight].data...)
	}
	return data
}

// endAppend removes the batches of the last record if the record was appended.
// Otherwise the batches stay for the next attempt.
func (b *buffer) endAppend(appended bool) {
	if appended {
		for _, appendedBatch := range b.batches[:b.inFlight] {
			b.size -= len(appendedBatch.data)
		}
		b.batches = append([]batch(nil), b.batches[b.inFlight:]...)
	}
	b.inFlight = 0
}
