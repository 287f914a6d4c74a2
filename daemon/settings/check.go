package settings

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/strictjson"
)

// Check validates a settings file of a role. If role is empty, it is detected
// by the fields that only one role has.
func Check(role, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if role == "" {
		role = detectRole(data)
	}
	switch role {
	case "control":
		return strictjson.Decode(file, data, &Control{})
	case "entry":
		return strictjson.Decode(file, data, &Entry{})
	case "agent":
		return strictjson.Decode(file, data, &Agent{})
	}
	return errors.Newf("role %q is none of control, entry, agent", role)
}

// detectRole returns the role whose own required field is present. Data that is
// not a JSON object counts as control's settings, so that decoding reports the
// error.
func detectRole(data []byte) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return "control"
	}
	if _, ok := fields["callers"]; ok {
		return "entry"
	}
	if _, ok := fields["endpoint"]; ok {
		return "agent"
	}
	return "control"
}
