// Package carobdocument decodes the files that operators write: JSON with
// comments. Unknown keys, repeated keys and invalid values are rejected with an
// error that names the file, line, column and key.
//
// The standard decoder reports the position neither of an unknown key nor of a
// value that the UnmarshalText method of a type rejects. The document is therefore
// first checked against the Go type, key by key, where each position is known, and
// then decoded as a whole.
package carobdocument

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Config holds the parameters of a document.
type Config struct {
	// FileName is the name of the file, for errors.
	FileName string
	// Data is the contents of the file.
	Data []byte
}

// Document is a file to decode.
type Document struct {
	config Config
	// offsets holds the offset of the value of each key, in bytes. The key "inner" in
	// the object under "outer" is written "outer.inner".
	offsets map[string]int
}

// NewDocument returns a document. Decode reads it.
func NewDocument(c Config) *Document {
	return &Document{config: c, offsets: map[string]int{}}
}

// Decode checks the document and decodes it into the value that result points to.
// Keys that are left out leave their fields as they are. Errors are of kind Invalid.
func (d *Document) Decode(result any) error {
	tree, err := hujson.Parse(d.config.Data)
	if err != nil {
		return carobkind.New(carobkind.Invalid, "%s: %s", d.config.FileName, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	if err := d.validate(&tree, "", typeOf(result)); err != nil {
		return err
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), result); err != nil {
		return d.WithPosition(err)
	}
	return nil
}

// Has reports whether the decoded document has a key.
func (d *Document) Has(key string) bool {
	_, ok := d.offsets[key]
	return ok
}

// WithPosition returns an error of kind Invalid with the file and the text of err. If
// the text starts with a key of the document and a colon, the line and column of its
// value are added.
func (d *Document) WithPosition(err error) error {
	text := reason(err)
	key, _, _ := strings.Cut(text, ":")
	if offset, ok := d.offsets[key]; ok {
		return d.errorAt(offset, "%s", text)
	}
	return carobkind.New(carobkind.Invalid, "%s: %s", d.config.FileName, text)
}

// errorAt returns an error of kind Invalid with the file, and the line and column of
// an offset.
func (d *Document) errorAt(offset int, format string, args ...any) error {
	line, column := d.position(offset)
	err := carobkind.New(carobkind.Invalid, format, args...)
	return carobkind.New(carobkind.Invalid, "%s:%d:%d: %s", d.config.FileName, line, column, err)
}

// position returns the line and column of an offset, both counted from 1.
func (d *Document) position(offset int) (line, column int) {
	before := d.config.Data[:min(offset, len(d.config.Data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// reason returns the text of the innermost error, without the context that callers
// wrapped around it. For a value of the wrong JSON type, the text names that type.
func reason(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "a " + typeErr.Value + " is not allowed here"
	}
	return errors.UnwrapAll(err).Error()
}
