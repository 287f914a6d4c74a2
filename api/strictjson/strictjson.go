// Package strictjson decodes JSON files that people write. Unknown and
// repeated fields, wrong types and bad values are refused with the field's
// path and its line.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File string
	Line int
	// Path names the field, as in "services[0].name"; empty for the whole file.
	Path    string
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Problems is all faults of a file.
type Problems []Problem

// Error implements error, one fault a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by types that check their values. It reports each
// fault by the path of its field.
type Validator interface {
	Validate(report func(path, message string))
}

// Decode parses data into out and validates it. file names data in faults,
// which are returned as Problems.
func Decode(file string, data []byte, out Validator) error {
	d := newDecoder(file, data)
	d.checkDocument(out)
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

// typeProblem reports what only the conversion finds.
func (d *decoder) typeProblem(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		message := fmt.Sprintf("%s is not a %s", typeErr.Value, typeErr.Type)
		d.add(d.lineAt(typeErr.Offset), typeErr.Field, message)
		return d.problems
	}
	d.add(1, "", err.Error())
	return d.problems
}
