// Package carobcallid defines the IDs of calls.
package carobcallid

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// ID identifies a call. It is unique over all nodes and restarts.
type ID struct {
	// Node is the entry node of the call.
	Node carobnodeid.ID
	// Incarnation is the incarnation of the entry node that accepted the call.
	Incarnation carobincarnation.Incarnation
	// Sequence is the number of the call within the incarnation.
	Sequence uint64
}

const (
	separator  = "~"
	numberBase = 36
	numberBits = 64
)

// String returns the ID as "node~incarnation~sequence", with the numbers in base 36.
func (i ID) String() string {
	incarnation := strconv.FormatUint(uint64(i.Incarnation), numberBase)
	return string(i.Node) + separator + incarnation + separator + strconv.FormatUint(i.Sequence, numberBase)
}

// MarshalText encodes the ID as String does.
func (i ID) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText decodes the form of MarshalText. It returns an Invalid error for any
// other text.
func (i *ID) UnmarshalText(text []byte) error {
	id, err := Parse(string(text))
	if err != nil {
		return err
	}
	*i = id
	return nil
}

// Parse decodes the form of String. It returns an Invalid error for any other text.
func Parse(text string) (ID, error) {
	const parts = 3
	fields := strings.Split(text, separator)
	if len(fields) != parts {
		return ID{}, malformedError(text)
	}
	node := carobnodeid.ID(fields[0])
	incarnation, errIncarnation := strconv.ParseUint(fields[1], numberBase, numberBits)
	sequence, errSequence := strconv.ParseUint(fields[2], numberBase, numberBits)
	if node.Check() != nil || errIncarnation != nil || errSequence != nil {
		return ID{}, malformedError(text)
	}
	return ID{Node: node, Incarnation: carobincarnation.Incarnation(incarnation), Sequence: sequence}, nil
}

// malformedError returns the error for a text that is not an ID. It quotes at most
// the first 80 characters, since the text may come from a caller.
func malformedError(text string) error {
	return carobkind.New(carobkind.Invalid, "call id %s is not of the form node~incarnation~sequence", fmt.Sprintf("%.80q", text))
}
