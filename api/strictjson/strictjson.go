// Package strictjson decodes hand-written JSON files. It rejects unknown and
// repeated fields, wrong types and invalid values, and reports the path and line
// of each.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Problem is one error in a file.
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

// Problems holds all errors found in a file.
type Problems []Problem

// Error implements error, with one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by types that check their values. Validate calls report
// for each invalid value with the path of its field.
type Validator interface {
	Validate(report func(path, message string))
}

// Decode parses data into out and validates it. Errors are returned as Problems,
// with file as the name of the data.
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

// typeProblem reports an error that only the conversion to Go values finds.
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
