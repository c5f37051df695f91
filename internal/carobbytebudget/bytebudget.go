// Package carobbytebudget bounds the memory that several goroutines use together.
package carobbytebudget

import (
	"sync/atomic"

	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Config holds the parameters of a ByteBudget.
type Config struct {
	// Limit is the largest number of bytes that may be reserved at once.
	Limit carobsize.Size
	// Parent is a budget that counts the reserved bytes as well; nil if there is none.
	Parent *ByteBudget
}

// ByteBudget counts reserved bytes. A nil ByteBudget has no limit.
type ByteBudget struct {
	config Config
	// reserved is at least 0, and at most Config.Limit apart from what Add reserved.
	reserved atomic.Int64
}

// NewByteBudget returns a budget of which nothing is reserved.
func NewByteBudget(c Config) *ByteBudget {
	return &ByteBudget{config: c}
}

// Reserve reserves bytes until Release. It reports false, and reserves nothing, if the
// limit does not allow it.
func (b *ByteBudget) Reserve(bytes int) bool {
	if b == nil {
		return true
	}
	if b.reserved.Add(int64(bytes)) > int64(b.config.Limit) || !b.config.Parent.Reserve(bytes) {
		b.reserved.Add(-int64(bytes))
		return false
	}
	return true
}

// Add reserves bytes whatever the limit, for what is bounded in another way.
func (b *ByteBudget) Add(bytes int) {
	if b != nil {
		b.reserved.Add(int64(bytes))
		b.config.Parent.Add(bytes)
	}
}

// Release returns reserved bytes.
func (b *ByteBudget) Release(bytes int) {
	if b != nil {
		b.reserved.Add(-int64(bytes))
		b.config.Parent.Release(bytes)
	}
}

// Reserved returns the number of bytes that are reserved.
func (b *ByteBudget) Reserved() int {
	if b == nil {
		return 0
	}
	return int(b.reserved.Load())
}
