package carobdocument

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// typeOf returns the type of the value that a pointer points to.
func typeOf(pointer any) reflect.Type {
	return reflect.TypeOf(pointer).Elem()
}

// validate checks a value against the type that it is decoded into, and records the
// offsets of its keys. path is the key of the value, empty for the whole document.
func (d *Document) validate(value *hujson.Value, path string, typ reflect.Type) error {
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return d.errorAt(value.StartOffset, "%sa null is not allowed here", prefix(path))
	}
	if isObject(typ) {
		return d.validateObject(value, path, typ)
	}
	if typ.Kind() == reflect.Slice {
		return d.validateArray(value, path, typ.Elem())
	}
	standard := value.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), reflect.New(typ).Interface()); err != nil {
		return d.errorAt(value.StartOffset, "%s: %s", path, reason(err))
	}
	return nil
}

// validateObject rejects unknown and repeated keys and validates each value.
func (d *Document) validateObject(value *hujson.Value, path string, typ reflect.Type) error {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(value.StartOffset, "%san object is needed", prefix(path))
	}
	for i := range object.Members {
		member := &object.Members[i]
		literal, _ := member.Name.Value.(hujson.Literal)
		key := join(path, literal.String())
		field := fieldOf(typ, literal.String())
		if field == nil {
			return d.errorAt(member.Name.StartOffset, "%s: there is no such key", key)
		}
		if d.Has(key) {
			return d.errorAt(member.Name.StartOffset, "%s: the key stands twice", key)
		}
		d.offsets[key] = member.Value.StartOffset
		if err := d.validate(&member.Value, key, field); err != nil {
			return err
		}
	}
	return nil
}

// validateArray validates each element. Elements that are objects are numbered in
// their keys, so that keys of two elements do not count as repeated.
func (d *Document) validateArray(value *hujson.Value, path string, element reflect.Type) error {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return d.errorAt(value.StartOffset, "%sa list is needed", prefix(path))
	}
	for i := range array.Elements {
		elementPath := path
		if isObject(element) {
			elementPath = fmt.Sprintf("%s[%d]", path, i)
		}
		if err := d.validate(&array.Elements[i], elementPath, element); err != nil {
			return err
		}
	}
	return nil
}

// isObject reports whether values of a type are JSON objects: structs, except those
// that are decoded from text.
func isObject(typ reflect.Type) bool {
	return typ.Kind() == reflect.Struct && !reflect.PointerTo(typ).Implements(textType)
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// fieldOf returns the type of the field that a key is decoded into, or nil if there is
// none.
func fieldOf(typ reflect.Type, key string) reflect.Type {
	for i := range typ.NumField() {
		tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if tag == key && tag != "-" && tag != "" {
			return typ.Field(i).Type
		}
	}
	return nil
}

// join returns the path of a key in the object at path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// prefix returns the start of an error's text: the path and a colon, or nothing for
// the whole document.
func prefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}
