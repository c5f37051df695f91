// Package carobdocument decodes the files that operators write: JSON with
// comments. Unknown keys, keys that stand twice and bad values are refused with
// file, line, column and key.
//
// The standard decoder tells neither the place of an unknown key nor that of a
// value which a type's own method refuses. So the document is checked against
// the Go type first, key by key, where each place is known, and decoded as a
// whole after that.
package carobdocument

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Config is how a document is made.
type Config struct {
	// Name is the file's, for errors.
	Name string
	Data []byte
}

// Document is a file to decode.
type Document struct {
	config Config
	// places has the byte at which the value of each key starts. Keys in inner
	// objects are written "outer.inner".
	places map[string]int
}

// NewDocument returns a document.
func NewDocument(c Config) *Document {
	return &Document{config: c, places: map[string]int{}}
}

// Decode decodes the document into a value.
func (d *Document) Decode(into any) error {
	tree, err := hujson.Parse(d.config.Data)
	if err != nil {
		return carobkind.New(carobkind.Invalid, "%s: %s", d.config.Name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	if err := d.walk(&tree, "", typeOf(into)); err != nil {
		return err
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), into); err != nil {
		return d.Refuse(err)
	}
	return nil
}

// Has reports whether the decoded document has a key.
func (d *Document) Has(key string) bool {
	_, ok := d.places[key]
	return ok
}

// Refuse adds the place to an error whose text starts with a key and a colon.
func (d *Document) Refuse(err error) error {
	text := reason(err)
	key, _, _ := strings.Cut(text, ":")
	if at, ok := d.places[key]; ok {
		return d.refuseAt(at, "%s", text)
	}
	return carobkind.New(carobkind.Invalid, "%s: %s", d.config.Name, text)
}

func (d *Document) refuseAt(at int, format string, args ...any) error {
	line, column := d.place(at)
	err := carobkind.New(carobkind.Invalid, format, args...)
	return carobkind.New(carobkind.Invalid, "%s:%d:%d: %s", d.config.Name, line, column, err)
}

// place returns the line and column of a byte, both from 1.
func (d *Document) place(at int) (line, column int) {
	before := d.config.Data[:min(at, len(d.config.Data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// reason returns what is wrong, without what was being done.
func reason(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return "a " + wrong.Value + " does not fit"
	}
	return errors.UnwrapAll(err).Error()
}
