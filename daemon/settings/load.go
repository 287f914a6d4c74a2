// Package settings reads the daemons' settings: one JSON file per process.
// Unknown fields and invalid values are rejected with the field's path and the
// line.
package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/strictjson"
)

// Load reads a file into out and validates it. Invalid content is returned as
// strictjson.Problems.
func Load(file string, out strictjson.Validator) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return strictjson.Decode(file, data, out)
}
