package strictjson

import "bytes"

// ElementCount is the number of a list's elements, the largest one of a repeated field.
type ElementCount int

// UnmarshalJSON implements json.Unmarshaler.
func (n *ElementCount) UnmarshalJSON(data []byte) error {
	*n = max(*n, ElementCount(CountElements(data)))
	return nil
}

// CountElements returns the number of elements of a list in valid JSON, 0 for other values.
func CountElements(data []byte) int {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || len(bytes.TrimSpace(data[1:len(data)-1])) == 0 {
		return 0
	}
	count, depth, inString := 1, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			count++
		}
	}
	return count
}
