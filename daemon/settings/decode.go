// Package settings reads the daemons' settings: one JSON file a role. Unknown
// fields and bad values are refused with the field's path and the line.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string
	Line int
	// Path names the field, as in "lease.ttl_ms".
	Path    string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Problems is all faults of a file.
type Problems []Problem

// Error implements error, one fault a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by settings that check their values. It reports
// each fault by the path of its field.
type Validator interface {
	Validate(report func(path, message string))
}

// Load reads a file into out and validates it. Faults are returned as Problems.
func Load(file string, out Validator) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(file, data, out)
}

// Decode parses data into out and validates it. file names data in faults.
func Decode(file string, data []byte, out Validator) error {
	d := &decoder{file: file, data: data, lines: map[string]int{}}
	d.walk(reflect.TypeOf(out).Elem())
	if len(d.problems) > 0 {
		return d.problems
	}
	if err := json.Unmarshal(data, out); err != nil {
		return d.typeProblem(err)
	}
	out.Validate(d.report)
	if len(d.problems) > 0 {
		return d.problems
	}
	return nil
}

// decoder walks the tokens of a file beside the Go type, to find unknown and
// repeated fields and to note the line of each field.
type decoder struct {
	file     string
	data     []byte
	json     *json.Decoder
	lines    map[string]int
	problems Problems
}

func (d *decoder) walk(t reflect.Type) {
	d.json = json.NewDecoder(bytes.NewReader(d.data))
	if err := d.value("", t); err != nil {
		d.syntaxProblem(err)
		return
	}
	if d.json.More() {
		d.add(d.line(), "", "unexpected data after the settings")
	}
}

func (d *decoder) value(path string, t reflect.Type) error {
	tok, err := d.json.Token()
	if err != nil {
		return err
	}
	switch tok {
	case json.Delim('{'):
		return d.object(path, t)
	case json.Delim('['):
		return d.array(path, t)
	}
	return nil
}

func (d *decoder) object(path string, t reflect.Type) error {
	for d.json.More() {
		tok, err := d.json.Token()
		if err != nil {
			return err
		}
		name := tok.(string)
		if err := d.field(join(path, name), name, t); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) field(path, name string, t reflect.Type) error {
	if _, repeated := d.lines[path]; repeated {
		d.add(d.line(), path, "field appears twice")
	}
	d.lines[path] = d.line()
	ft, known := fieldType(t, name)
	if !known {
		d.add(d.line(), path, "unknown field")
		ft = reflect.TypeFor[any]()
	}
	return d.value(path, ft)
}

func (d *decoder) array(path string, t reflect.Type) error {
	element := reflect.TypeFor[any]()
	if t = indirect(t); t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; d.json.More(); i++ {
		if err := d.value(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

// fieldType finds the type of a field by its JSON name. Values whose Go type
// is not a struct accept any field.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	t = indirect(t)
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	if t.Kind() != reflect.Struct {
		return reflect.TypeFor[any](), true
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

func indirect(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// line returns the line of the decoder's position.
func (d *decoder) line() int { return d.lineAt(d.json.InputOffset()) }

func (d *decoder) lineAt(offset int64) int {
	offset = min(offset, int64(len(d.data)))
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func (d *decoder) add(line int, path, message string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Path: path, Message: message})
}

// report is given to Validate. A field that the file lacks has the line of its
// nearest parent that is there.
func (d *decoder) report(path, message string) {
	d.add(d.lineOf(path), path, message)
}

func (d *decoder) lineOf(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}

func (d *decoder) syntaxProblem(err error) {
	line := d.line()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line = d.lineAt(syntax.Offset)
	}
	d.add(line, "", err.Error())
}

func (d *decoder) typeProblem(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		message := fmt.Sprintf("%s is not a %s", wrong.Value, wrong.Type)
		d.add(d.lineAt(wrong.Offset), wrong.Field, message)
		return d.problems
	}
	return errors.Wrapf(err, "%s", d.file)
}
