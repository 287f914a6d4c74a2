package mesh

import "encoding/binary"

const (
	// structBytes, itemBytes and stringBytes are upper bounds for the memory of a decoded map or
	// list, number and string without its text. The largest structs in lists take about 160 bytes.
	structBytes = 160
	itemBytes   = 8
	stringBytes = 16
	// maxGrowth bounds the decoded size of a message as a multiple of its encoded size. Messages of
	// the system, which name all their fields, stay below 12. Lists of empty maps would reach 160.
	maxGrowth = 16
)

// Major types of CBOR.
const (
	majorBytes = 2
	majorText  = 3
	majorList  = 4
	majorMap   = 5
	majorTag   = 6
)

// decodedBytes returns a bound for the memory that CBOR data takes when it is decoded, without the
// text of strings. Data that isn't valid may get any result; decoding it fails.
func decodedBytes(data []byte) (total int) {
	for i := 0; i < len(data); {
		major, argument, size := head(data[i:])
		i += size
		switch major {
		case majorBytes, majorText:
			total += stringBytes
			if i > len(data) || argument > uint64(len(data)-i) {
				return total
			}
			i += int(argument)
		case majorList, majorMap:
			total += structBytes
		case majorTag:
		default:
			total += itemBytes
		}
	}
	return total
}

// head decodes the head of a data item. The argument of an item of indefinite length is 0; its parts
// follow as items.
func head(data []byte) (major int, argument uint64, size int) {
	major = int(data[0] >> 5)
	info := data[0] & 31
	width := 0
	switch info {
	case 24:
		width = 1
	case 25:
		width = 2
	case 26:
		width = 4
	case 27:
		width = 8
	}
	if info < 24 {
		return major, uint64(info), 1
	}
	var argumentBytes [8]byte
	copy(argumentBytes[8-width:], data[1:min(len(data), 1+width)])
	return major, binary.BigEndian.Uint64(argumentBytes[:]), 1 + width
}
