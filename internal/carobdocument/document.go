// Package carobdocument decodes the files that operators write: JSON with
// comments. Unknown keys and bad values are refused with file, line and key.
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
}

// NewDocument returns a document.
func NewDocument(c Config) *Document {
	return &Document{config: c}
}

// Decode decodes the document into a value.
func (d *Document) Decode(into any) error {
	plain, err := hujson.Standardize(bytes.Clone(d.config.Data))
	if err != nil {
		return carobkind.New(carobkind.Invalid, "%s: %s", d.config.Name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return d.locate(err)
	}
	return nil
}

// locate adds the place of an error.
func (d *Document) locate(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		line, column := d.place(wrong.Offset)
		return carobkind.New(carobkind.Invalid, "%s:%d:%d: %s: a %s does not fit", d.config.Name, line, column, wrong.Field, wrong.Value)
	}
	return carobkind.New(carobkind.Invalid, "%s: %s", d.config.Name, err)
}

// place returns the line and column of a byte, both from 1.
func (d *Document) place(offset int64) (line, column int) {
	before := d.config.Data[:min(int(offset), len(d.config.Data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
