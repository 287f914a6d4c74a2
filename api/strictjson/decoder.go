package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// maxDepth bounds the nesting of a file. The decoder is recursive, and a stack
// overflow ends the process.
const maxDepth = 100

// decoder checks the tokens of a file against the Go type, to find unknown and
// repeated fields and wrong types, and to record the line of each field.
type decoder struct {
	file     string
	data     []byte
	tokens   *json.Decoder
	depth    int
	lines    map[string]int
	problems Problems
}

func newDecoder(file string, data []byte) *decoder {
	d := &decoder{file: file, data: data, lines: map[string]int{}}
	d.tokens = json.NewDecoder(bytes.NewReader(data))
	d.tokens.UseNumber()
	return d
}

func (d *decoder) checkDocument(out any) {
	if err := d.checkValue("", reflect.TypeOf(out).Elem()); err != nil {
		d.syntaxProblem(err)
		return
	}
	if _, err := d.tokens.Token(); err != io.EOF {
		d.add(d.line(), "", "unexpected data after the end")
	}
}

func (d *decoder) checkValue(path string, t reflect.Type) error {
	d.depth++
	defer func() { d.depth-- }()
	if d.depth > maxDepth {
		return fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	tok, err := d.tokens.Token()
	if err != nil {
		return err
	}
	if message := typeMismatch(t, tok); message != "" {
		d.add(d.line(), path, message)
		t = anyType
	}
	switch tok {
	case json.Delim('{'):
		return d.checkObject(path, t)
	case json.Delim('['):
		return d.checkArray(path, t)
	}
	return nil
}

func (d *decoder) checkObject(path string, t reflect.Type) error {
	for d.tokens.More() {
		tok, err := d.tokens.Token()
		if err != nil {
			return err
		}
		name := tok.(string)
		if err := d.checkField(joinPath(path, name), name, t); err != nil {
			return err
		}
	}
	_, err := d.tokens.Token()
	return err
}

func (d *decoder) checkField(path, name string, t reflect.Type) error {
	if acceptsAnyJSON(t) {
		return d.checkValue(path, anyType)
	}
	if _, repeated := d.lines[path]; repeated {
		d.add(d.line(), path, "field appears twice")
	}
	d.lines[path] = d.line()
	ft, known := fieldType(t, name)
	if !known {
		d.add(d.line(), path, "unknown field")
		ft = anyType
	}
	return d.checkValue(path, ft)
}

func (d *decoder) checkArray(path string, t reflect.Type) error {
	element := anyType
	if t = derefType(t); !acceptsAnyJSON(t) && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; d.tokens.More(); i++ {
		if err := d.checkValue(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := d.tokens.Token()
	return err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// line returns the line of the decoder's position.
func (d *decoder) line() int { return d.lineAt(d.tokens.InputOffset()) }

func (d *decoder) lineAt(offset int64) int {
	offset = min(offset, int64(len(d.data)))
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

func (d *decoder) add(line int, path, message string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Path: path, Message: message})
}

// report is passed to Validate. A field that is missing in the file is reported at
// the line of its nearest parent that is present.
func (d *decoder) report(path, message string) {
	d.add(d.lineOf(path), path, message)
}

func (d *decoder) lineOf(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			break
		}
		path = path[:end]
	}
	return 1
}

func (d *decoder) syntaxProblem(err error) {
	line := d.line()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line = d.lineAt(syntax.Offset)
	}
	message := err.Error()
	if errors.Is(err, io.EOF) {
		message = "unexpected end of the file"
	}
	d.add(line, "", message)
}
