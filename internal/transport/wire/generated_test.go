package wire

import (
	"bytes"
	"flag"
	"os"
	"os/exec"
	"testing"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

var update = flag.Bool("update", false, "regenerate the code from the .proto files; refused if CI is set")

// generatorPackage is run at the version in go.mod, so that the generator and the runtime library have the same version.
const generatorPackage = "google.golang.org/protobuf/cmd/protoc-gen-go"

// compilerVersion is the version of protoc that the committed code was first generated with. The header of the code names it.
var compilerVersion = &pluginpb.Version{Major: proto.Int32(3), Minor: proto.Int32(21), Patch: proto.Int32(12)}

// TestGeneratedCode checks that the committed *.pb.go files are what the .proto files beside them generate. It needs no protoc.
func TestGeneratedCode(t *testing.T) {
	sources := []string{"wire.proto", "desired.proto"}
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := compiler.Compile(t.Context(), sources...)
	if err != nil {
		t.Fatal(err)
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: sources, Parameter: proto.String("paths=source_relative"), CompilerVersion: compilerVersion}
	for _, file := range files {
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
	}
	for _, generated := range generate(t, request).File {
		if *update {
			if os.Getenv("CI") != "" {
				t.Fatal("generated code is not written in CI")
			}
			if err := os.WriteFile(generated.GetName(), []byte(generated.GetContent()), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		committed, err := os.ReadFile(generated.GetName())
		if err != nil {
			t.Fatal(err)
		}
		if string(committed) != generated.GetContent() {
			t.Errorf("%s is outdated; run go test ./internal/transport/wire -run TestGeneratedCode -update", generated.GetName())
		}
	}
}

func generate(t *testing.T, request *pluginpb.CodeGeneratorRequest) *pluginpb.CodeGeneratorResponse {
	t.Helper()
	content, err := proto.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", "run", generatorPackage)
	command.Stdin, command.Stderr = bytes.NewReader(content), os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		t.Fatal(err)
	}
	if response.GetError() != "" {
		t.Fatal(response.GetError())
	}
	return response
}
