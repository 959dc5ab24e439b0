package compatibility

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "snowflow/internal/transport/wire" // registers the messages
)

// projectFiles returns the project's protobuf files, sorted by path: all registered files except those of protobuf itself.
func projectFiles() (files []protoreflect.FileDescriptor) {
	protoregistry.GlobalFiles.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		if !strings.HasPrefix(file.Path(), "google/protobuf/") {
			files = append(files, file)
		}
		return true
	})
	slices.SortFunc(files, func(a, b protoreflect.FileDescriptor) int { return strings.Compare(a.Path(), b.Path()) })
	return files
}

// position identifies a message or an enumeration by where it is declared: the file's index, then the indices of the enclosing
// declarations and its own.
func position(files []protoreflect.FileDescriptor, declared protoreflect.Descriptor) string {
	var indices []string
	for {
		parent := declared.Parent()
		if file, top := parent.(protoreflect.FileDescriptor); top {
			index := slices.IndexFunc(files, func(other protoreflect.FileDescriptor) bool { return other.Path() == file.Path() })
			return fmt.Sprintf("%d/%d", index, declared.Index()) + strings.Join(indices, "")
		}
		indices = append([]string{fmt.Sprintf(".%d", declared.Index())}, indices...)
		declared = parent
	}
}

// shape describes how a field is encoded: its number, kind and cardinality, and the position of its message or enumeration type.
func shape(files []protoreflect.FileDescriptor, field protoreflect.FieldDescriptor) string {
	text := fmt.Sprintf("%d %s %s", field.Number(), field.Cardinality(), field.Kind())
	if field.HasOptionalKeyword() {
		text += " presence"
	}
	if field.IsPacked() {
		text += " packed"
	}
	if oneof := field.ContainingOneof(); oneof != nil && !oneof.IsSynthetic() {
		text += fmt.Sprintf(" oneof %d", oneof.Index())
	}
	if message := field.Message(); message != nil {
		text += " message " + position(files, message)
	}
	if enumeration := field.Enum(); enumeration != nil {
		text += " enum " + position(files, enumeration)
	}
	return text
}

func sortedFields(message protoreflect.MessageDescriptor) (fields []protoreflect.FieldDescriptor) {
	for index := range message.Fields().Len() {
		fields = append(fields, message.Fields().Get(index))
	}
	slices.SortFunc(fields, func(a, b protoreflect.FieldDescriptor) int { return int(a.Number()) - int(b.Number()) })
	return fields
}

// declarations is implemented by the descriptors of files and messages, both of which can declare messages and enumerations.
type declarations interface {
	Messages() protoreflect.MessageDescriptors
	Enums() protoreflect.EnumDescriptors
}

// describe writes the shapes of all messages and enumerations declared in a file or message.
func describe(text *strings.Builder, files []protoreflect.FileDescriptor, scope declarations) {
	for index := range scope.Enums().Len() {
		enumeration := scope.Enums().Get(index)
		fmt.Fprintf(text, "enum %s\n", position(files, enumeration))
		for _, value := range enumNumbers(enumeration) {
			fmt.Fprintf(text, "  %d\n", value)
		}
	}
	for index := range scope.Messages().Len() {
		message := scope.Messages().Get(index)
		fmt.Fprintf(text, "message %s\n", position(files, message))
		for _, field := range sortedFields(message) {
			fmt.Fprintf(text, "  %s\n", shape(files, field))
		}
		for index := range message.ReservedRanges().Len() {
			reserved := message.ReservedRanges().Get(index)
			fmt.Fprintf(text, "  reserved %d to %d\n", reserved[0], reserved[1]-1)
		}
		describe(text, files, message)
	}
}

func enumNumbers(enumeration protoreflect.EnumDescriptor) (numbers []protoreflect.EnumNumber) {
	for index := range enumeration.Values().Len() {
		numbers = append(numbers, enumeration.Values().Get(index).Number())
	}
	slices.Sort(numbers)
	return numbers
}

// TestMessageShapes checks that the numbers, kinds and cardinalities of the fields of all messages are as approved. Names don't matter.
func TestMessageShapes(t *testing.T) {
	files, text := projectFiles(), &strings.Builder{}
	if len(files) != 2 {
		t.Fatalf("%d files declare messages, but two are approved", len(files))
	}
	for _, file := range files {
		describe(text, files, file)
	}
	requireApproved(t, "messages", text.String())
}

// TestConfigurationNames checks that the names of fields and enumeration values in configurations are as approved, since operators write
// configurations as JSON. It covers the first message of the first file and all messages that it contains.
func TestConfigurationNames(t *testing.T) {
	files, text := projectFiles(), &strings.Builder{}
	pending, seen := []protoreflect.MessageDescriptor{files[0].Messages().Get(0)}, map[string]bool{}
	for len(pending) > 0 {
		message := pending[0]
		pending = pending[1:]
		if seen[position(files, message)] {
			continue
		}
		seen[position(files, message)] = true
		fmt.Fprintf(text, "message %s\n", position(files, message))
		for _, field := range sortedFields(message) {
			fmt.Fprintf(text, "  %s %s %s\n", shape(files, field), field.TextName(), field.JSONName())
			if enumeration := field.Enum(); enumeration != nil {
				for index := range enumeration.Values().Len() {
					value := enumeration.Values().Get(index)
					fmt.Fprintf(text, "    %d %s\n", value.Number(), value.Name())
				}
			}
			if field.Message() != nil {
				pending = append(pending, field.Message())
			}
		}
	}
	requireApproved(t, "configuration-names", text.String())
}
