package carobdocument

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

func typeOf(into any) reflect.Type {
	return reflect.TypeOf(into).Elem()
}

// walk checks a value against the type that it is decoded into.
func (d *Document) walk(value *hujson.Value, path string, typ reflect.Type) error {
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return d.refuseAt(value.StartOffset, "%sa null does not fit", prefix(path))
	}
	if isObject(typ) {
		return d.walkObject(value, path, typ)
	}
	if typ.Kind() == reflect.Slice {
		return d.walkArray(value, path, typ.Elem())
	}
	plain := value.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), reflect.New(typ).Interface()); err != nil {
		return d.refuseAt(value.StartOffset, "%s: %s", path, reason(err))
	}
	return nil
}

func (d *Document) walkObject(value *hujson.Value, path string, typ reflect.Type) error {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return d.refuseAt(value.StartOffset, "%san object is needed", prefix(path))
	}
	for i := range object.Members {
		mb := &object.Members[i]
		literal, _ := mb.Name.Value.(hujson.Literal)
		key := join(path, literal.String())
		field := fieldOf(typ, literal.String())
		if field == nil {
			return d.refuseAt(mb.Name.StartOffset, "%s: there is no such key", key)
		}
		if d.Has(key) {
			return d.refuseAt(mb.Name.StartOffset, "%s: the key stands twice", key)
		}
		d.places[key] = mb.Value.StartOffset
		if err := d.walk(&mb.Value, key, field); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) walkArray(value *hujson.Value, path string, element reflect.Type) error {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return d.refuseAt(value.StartOffset, "%sa list is needed", prefix(path))
	}
	for i := range array.Elements {
		place := path
		if isObject(element) {
			place = fmt.Sprintf("%s[%d]", path, i)
		}
		if err := d.walk(&array.Elements[i], place, element); err != nil {
			return err
		}
	}
	return nil
}

// isObject reports whether a type's keys are checked one by one.
func isObject(typ reflect.Type) bool {
	return typ.Kind() == reflect.Struct && !reflect.PointerTo(typ).Implements(textType)
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// fieldOf returns the type of the field that a key is decoded into, or nil.
func fieldOf(typ reflect.Type, key string) reflect.Type {
	for i := range typ.NumField() {
		tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if tag == key && tag != "-" && tag != "" {
			return typ.Field(i).Type
		}
	}
	return nil
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func prefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}
