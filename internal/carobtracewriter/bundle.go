package carobtracewriter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
)

// bundle is what is collected for a stream: packs of entries. A pack is a line
// that says whose it is, and a line for each entry, packed by gzip. Packs behind
// each other are a gzip file too; a record of the stream is one or more packs.
type bundle struct {
	self carobmember.Member
	// kept is the most bytes of packs.
	kept int
	// lines has the entries that are not packed yet, and first is when the first
	// of them came.
	lines [][]byte
	first carobinstant.Instant
	// packs are in the order in which they were made, and size is their bytes.
	packs []pack
	size  int
	// taking is how many packs are being appended; they are not dropped.
	taking int
	// number is that of the newest pack.
	number uint64
	// dropped counts entries; told is how many of them a pack has told of.
	dropped, told int
	// last is when the newest append was made.
	last carobinstant.Instant
}

type pack struct {
	data    []byte
	entries int
}

// header is the first line of a pack.
type header struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Pack tells the packs of an incarnation apart.
	Pack    uint64 `json:"pack"`
	Entries int    `json:"entries"`
	// Lost is how many entries were dropped since the pack before.
	Lost int `json:"lost"`
}

// crowd is the number of entries of a full pack.
const crowd = 1000

func newBundle(c Config) *bundle {
	return &bundle{self: c.Self, kept: int(c.Kept)}
}

// add takes an entry in.
func (b *bundle) add(entry any) {
	line, err := json.Marshal(entry)
	if err != nil {
		b.dropped++
		return
	}
	b.lines = append(b.lines, line)
	if len(b.lines) >= crowd {
		b.seal()
	}
}

// seal packs the entries, and drops the oldest packs if there are too many bytes.
func (b *bundle) seal() {
	if len(b.lines) == 0 {
		return
	}
	b.number++
	head, err := json.Marshal(header{
		Node: string(b.self.Node), Incarnation: uint64(b.self.Incarnation),
		Pack: b.number, Entries: len(b.lines), Lost: b.dropped - b.told,
	})
	if err != nil {
		return
	}
	b.told = b.dropped
	var data bytes.Buffer
	packer := gzip.NewWriter(&data)
	for _, line := range append([][]byte{head}, b.lines...) {
		_, _ = packer.Write(line)
		_, _ = packer.Write([]byte("\n"))
	}
	_ = packer.Close()
	b.packs = append(b.packs, pack{data: data.Bytes(), entries: len(b.lines)})
	b.size += data.Len()
	b.lines, b.first = nil, carobinstant.Never
	for b.size > b.kept && len(b.packs) > b.taking {
		b.drop(b.taking)
	}
}

func (b *bundle) drop(place int) {
	b.dropped += b.packs[place].entries
	b.size -= len(b.packs[place].data)
	b.packs = append(b.packs[:place], b.packs[place+1:]...)
}

// due returns when the next append is, or Never if there is nothing to append.
func (b *bundle) due(now carobinstant.Instant) carobinstant.Instant {
	if len(b.lines) == 0 && len(b.packs) == 0 {
		return carobinstant.Never
	}
	if b.first == carobinstant.Never {
		b.first = now
	}
	soon := b.first.Add(linger)
	if b.last == carobinstant.Never {
		return soon
	}
	return max(soon, b.last.Add(gap))
}

// take returns the next record to append.
func (b *bundle) take(now carobinstant.Instant) []byte {
	b.seal()
	b.last = now
	var data []byte
	for b.taking = 0; b.taking < len(b.packs) && len(data) < largest; b.taking++ {
		data = append(data, b.packs[b.taking].data...)
	}
	return data
}

// settle forgets what was appended, or keeps it for the next try.
func (b *bundle) settle(done bool) {
	if done {
		for _, p := range b.packs[:b.taking] {
			b.size -= len(p.data)
		}
		b.packs = append([]pack(nil), b.packs[b.taking:]...)
	}
	b.taking = 0
}
