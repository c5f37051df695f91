// Package carobkey names the idempotency keys.
package carobkey

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// MaxLength is the most bytes of a key.
const MaxLength = 255

// Key is an idempotency key of a caller. Keys of two services differ.
type Key struct {
	Service carobservice.Service `json:"service"`
	// Text is what the caller sent. It is not empty.
	Text string `json:"text"`
}

// Check returns an Invalid error if the key is empty or too long.
func (k Key) Check() error {
	if k.Text == "" || len(k.Text) > MaxLength {
		return carobkind.New(carobkind.Invalid, "key: %d bytes are not between 1 and %d", len(k.Text), MaxLength)
	}
	return nil
}
