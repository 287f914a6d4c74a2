package settings

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/strictjson"
)

// Check reads a file as the settings of a role. Without a role, the field that
// only one role has decides.
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

// guessRole looks for a required field of each role. An unreadable file is
// read as control's, which reports what is wrong with it.
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
