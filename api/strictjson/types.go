package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

var (
	anyType         = reflect.TypeFor[any]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// acceptsAnyJSON reports whether a type accepts any JSON value: an interface, or a
// type with its own decoding such as json.RawMessage. Such values are not checked.
func acceptsAnyJSON(t reflect.Type) bool {
	t = derefType(t)
	return t.Kind() == reflect.Interface || reflect.PointerTo(t).Implements(unmarshalerType)
}

func derefType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t
}

// fieldType returns the type of a field by its JSON name. Unlike encoding/json, it
// compares names with their case.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	t = derefType(t)
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			if ft, ok := fieldType(f.Type, name); ok {
				return ft, true
			}
			continue
		}
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name {
			return f.Type, true
		}
	}
	return nil, false
}

// typeMismatch returns why a token can't begin a value of a type, or "" if it can.
// null is allowed only for a pointer.
func typeMismatch(t reflect.Type, tok json.Token) string {
	if acceptsAnyJSON(t) || (tok == nil && t.Kind() == reflect.Pointer) {
		return ""
	}
	t = derefType(t)
	switch v := tok.(type) {
	case nil:
		return "null is not " + describe(t)
	case json.Number:
		return numberMismatch(t, v)
	case json.Delim:
		if (v == '{' && (t.Kind() == reflect.Struct || t.Kind() == reflect.Map)) || (v == '[' && t.Kind() == reflect.Slice) {
			return ""
		}
		return map[json.Delim]string{'{': "an object", '[': "a list"}[v] + " is not " + describe(t)
	case string:
		if t.Kind() != reflect.String {
			return fmt.Sprintf("%q is not %s", v, describe(t))
		}
	case bool:
		if t.Kind() != reflect.Bool {
			return fmt.Sprintf("%v is not %s", v, describe(t))
		}
	}
	return ""
}

func numberMismatch(t reflect.Type, n json.Number) string {
	var err error
	switch {
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64:
		_, err = strconv.ParseInt(n.String(), 10, t.Bits())
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uint64:
		_, err = strconv.ParseUint(n.String(), 10, t.Bits())
	case t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64:
		_, err = strconv.ParseFloat(n.String(), t.Bits())
	default:
		return fmt.Sprintf("%s is not %s", n, describe(t))
	}
	if err != nil {
		return fmt.Sprintf("%s is not %s", n, describe(t))
	}
	return ""
}

// describe returns the JSON value that a type expects, for error messages.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	}
	return "a whole number"
}
