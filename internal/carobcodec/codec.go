// Package carobcodec encodes the control messages between nodes.
package carobcodec

import (
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Codec encodes messages as CBOR. Message types carry their tags themselves.
type Codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
	// broken counts what could not be decoded.
	broken atomic.Uint64
}

// NewCodec returns the codec, whose bounds keep a hostile message from costing
// much memory.
func NewCodec() (*Codec, error) {
	const deepest, longest = 16, 1 << 17
	encode, err := cbor.EncOptions{
		Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString,
	}.EncMode()
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "make encoder")
	}
	decode, err := cbor.DecOptions{
		MaxNestedLevels: deepest, MaxArrayElements: longest, MaxMapPairs: longest,
		TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "make decoder")
	}
	return &Codec{encode: encode, decode: decode}, nil
}

// Name names the codec in the content type.
func (c *Codec) Name() string {
	return "cbor"
}

// Marshal encodes a message.
func (c *Codec) Marshal(message any) ([]byte, error) {
	data, err := c.encode.Marshal(message)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "encode message")
	}
	return data, nil
}

// Unmarshal decodes a message.
func (c *Codec) Unmarshal(data []byte, message any) error {
	if err := c.decode.Unmarshal(data, message); err != nil {
		c.broken.Add(1)
		return carobkind.Wrap(carobkind.Invalid, err, "decode message")
	}
	return nil
}

// Broken returns how many messages could not be decoded.
func (c *Codec) Broken() uint64 {
	return c.broken.Load()
}
