// Package carobcodec encodes and decodes the control messages between nodes.
package carobcodec

import (
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Codec encodes messages as CBOR. The struct tags of the message types define the keys.
type Codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
	// decodeErrors counts the inputs that could not be decoded.
	decodeErrors atomic.Uint64
}

// NewCodec returns a codec. It limits the nesting and the number of elements of a
// message, which keeps a malicious message from allocating much memory.
func NewCodec() (*Codec, error) {
	const maxNesting, maxElements = 16, 1 << 17
	encode, err := cbor.EncOptions{
		Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString,
	}.EncMode()
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "make encoder")
	}
	decode, err := cbor.DecOptions{
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		TextUnmarshaler: cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "make decoder")
	}
	return &Codec{encode: encode, decode: decode}, nil
}

// Name returns the name of the codec in the content type.
func (c *Codec) Name() string {
	return "cbor"
}

// Marshal encodes a message. The kind of an error is Internal.
func (c *Codec) Marshal(message any) ([]byte, error) {
	data, err := c.encode.Marshal(message)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "encode message")
	}
	return data, nil
}

// Unmarshal decodes a message. The kind of an error is Invalid.
func (c *Codec) Unmarshal(data []byte, message any) error {
	if err := c.decode.Unmarshal(data, message); err != nil {
		c.decodeErrors.Add(1)
		return carobkind.Wrap(carobkind.Invalid, err, "decode message")
	}
	return nil
}

// DecodeErrors returns how many inputs could not be decoded.
func (c *Codec) DecodeErrors() uint64 {
	return c.decodeErrors.Load()
}
