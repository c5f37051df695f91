// Package carobcallid names the calls.
package carobcallid

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// ID names a call. No two calls ever have the same ID.
type ID struct {
	// Node is the entry node, which owns the call.
	Node carobnodeid.ID
	// Incarnation is the entry node's.
	Incarnation carobincarnation.Incarnation
	// Sequence counts the calls of this incarnation.
	Sequence uint64
}

const (
	separator = "~"
	base      = 36
	bits      = 64
)

// String writes the ID as "node~incarnation~sequence", the numbers in base 36.
func (i ID) String() string {
	incarnation := strconv.FormatUint(uint64(i.Incarnation), base)
	return string(i.Node) + separator + incarnation + separator + strconv.FormatUint(i.Sequence, base)
}

// MarshalText writes the ID as String does.
func (i ID) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText reads what MarshalText writes.
func (i *ID) UnmarshalText(text []byte) error {
	id, err := Parse(string(text))
	if err != nil {
		return err
	}
	*i = id
	return nil
}

// Parse reads what String writes.
func Parse(text string) (ID, error) {
	const parts = 3
	fields := strings.Split(text, separator)
	if len(fields) != parts {
		return ID{}, malformed(text)
	}
	node := carobnodeid.ID(fields[0])
	incarnation, errIncarnation := strconv.ParseUint(fields[1], base, bits)
	sequence, errSequence := strconv.ParseUint(fields[2], base, bits)
	if node.Check() != nil || errIncarnation != nil || errSequence != nil {
		return ID{}, malformed(text)
	}
	return ID{Node: node, Incarnation: carobincarnation.Incarnation(incarnation), Sequence: sequence}, nil
}

func malformed(text string) error {
	return carobkind.New(carobkind.Invalid, "call id %s is not of the form node~incarnation~sequence", fmt.Sprintf("%.80q", text))
}
