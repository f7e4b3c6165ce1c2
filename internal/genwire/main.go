// SPDX-License-Identifier: Apache-2.0

// Command genwire generates the Go code of a protobuf file without protoc: it compiles the file
// and passes the descriptor to protoc-gen-go.
//
//	genwire PLUGIN FILE
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: genwire PLUGIN FILE")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate runs a protoc plugin on a protobuf file and writes the files that it generates.
func generate(plugin, file string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{"."}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	})
	if err != nil {
		return err
	}
	run := exec.Command(plugin)
	run.Stdin, run.Stderr = bytes.NewReader(raw), os.Stderr
	out, err := run.Output()
	if err != nil {
		return err
	}
	return write(out)
}

// write writes the files of a plugin's response.
func write(out []byte) error {
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("protoc plugin failed: %s", *response.Error)
	}
	for _, f := range response.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
