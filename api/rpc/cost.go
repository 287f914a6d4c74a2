package rpc

import (
	"bytes"
	"reflect"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// pointerBytes is an element of a list of messages, with what a list that grows leaves behind.
	pointerBytes = 16
	// objectBytes and valueBytes bound an object and another value of JSON, decoded.
	objectBytes = 256
	valueBytes  = 24
	// decodedForms counts the message and the product's type into which it is converted.
	decodedForms = 2
)

// DecodedBytes returns a bound for the memory that a request's messages take when they are decoded,
// without their text and bytes. A list of empty messages takes a multiple of its encoded size. path
// is that of the method. A body that isn't valid may get any result; decoding it fails.
func DecodedBytes(path string, isJSON bool, body []byte) int {
	if isJSON {
		return decodedForms * (objectBytes*bytes.Count(body, []byte{'{'}) + valueBytes*bytes.Count(body, []byte{','}))
	}
	service, method, _ := strings.Cut(strings.TrimPrefix(path, "/twirp/"), "/")
	d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(service))
	if err != nil {
		return 0 // no method decodes the body
	}
	s, ok := d.(protoreflect.ServiceDescriptor)
	if !ok {
		return 0
	}
	m := s.Methods().ByName(protoreflect.Name(method))
	if m == nil {
		return 0
	}
	return decodedForms * messageBytes(m.Input(), body, 0)
}

// maxDepth bounds nested messages; those of the system have less. Decoding fails at 10000.
const maxDepth = 16

// messageBytes returns the size of a message's struct and of the messages in it.
func messageBytes(d protoreflect.MessageDescriptor, data []byte, depth int) int {
	total := structBytes(d)
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return total
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 {
			return total
		}
		field := d.Fields().ByNumber(number)
		switch {
		case field == nil:
		case field.Kind() == protoreflect.MessageKind && kind == protowire.BytesType && depth < maxDepth:
			value, _ := protowire.ConsumeBytes(data)
			total += pointerBytes + messageBytes(field.Message(), value, depth+1)
		case field.IsList():
			total += valueBytes + n*8 // a packed list of numbers has at least one byte for each
		}
		data = data[n:]
	}
	return total
}

func structBytes(d protoreflect.MessageDescriptor) int {
	m, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
	if err != nil {
		return objectBytes
	}
	return int(reflect.TypeOf(m.Zero().Interface()).Elem().Size())
}
