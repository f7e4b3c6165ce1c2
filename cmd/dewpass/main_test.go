// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"
)

func TestCommandLine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

func runDewpass(ctx context.Context, args ...string) (code int, stdout, stderr string) {
	var o, e bytes.Buffer
	code = run(ctx, append([]string{"dewpass"}, args...), &o, &e)
	return code, o.String(), e.String()
}

func walkCommands(path string, c *cli.Command, f func(path string, c *cli.Command)) {
	f(path, c)
	for _, sub := range c.Commands {
		if sub.Name != "help" && sub.Name != "completion" {
			walkCommands(path+" "+sub.Name, sub, f)
		}
	}
}

var _ = Describe("the command line", func() {
	It("has a usage text and an example for every command", func() {
		walkCommands("dewpass", newApp(&bytes.Buffer{}, &bytes.Buffer{}), func(path string, c *cli.Command) {
			Expect(c.Usage).NotTo(BeEmpty(), path)
			if len(c.Commands) == 0 {
				Expect(c.Description).To(ContainSubstring("Example: "+path), path)
			}
		})
	})

	It("prints help texts and shell completion", func(ctx context.Context) {
		code, out, _ := runDewpass(ctx, "tree", "set", "--help")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("Example"))
		code, out, _ = runDewpass(ctx, "completion", "bash")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("dewpass"))
	})

	It("names every fault of a settings file and exits with the code of the kind", func(ctx context.Context) {
		file := filepath.Join(GinkgoT().TempDir(), "s.json")
		Expect(os.WriteFile(file, []byte(`{"instance":"A","hall":"h","listen":{"http":"x","peer":"127.0.0.1:2"},"platform":{"url":"ftp://p"}}`), 0o600)).To(Succeed())
		code, _, errs := runDewpass(ctx, "settings", "check", "--settings", file)
		Expect(code).To(Equal(2))
		Expect(errs).To(And(ContainSubstring("/instance"), ContainSubstring("/listen/http"), ContainSubstring("/platform/url")))
	})

	It("checks a tree without an instance", func(ctx context.Context) {
		code, out, _ := runDewpass(ctx, "tree", "check", "../../examples/kartvela.json")
		Expect(code).To(BeZero())
		Expect(out).To(ContainSubstring("tracing/trace"))
	})

	DescribeTable("exits with the code of the error's kind for", func(ctx context.Context, want int, args ...string) {
		code, _, errs := runDewpass(ctx, args...)
		Expect(code).To(Equal(want), errs)
	},
		Entry("an unknown flag", 2, "status", "--colour"),
		Entry("an unknown command", 2, "trees"),
		Entry("a missing argument", 2, "tree", "unset"),
		Entry("a set without a value", 2, "tree", "set", "a.cpu"),
		Entry("an unknown output format", 2, "status", "--output", "xml"),
		Entry("a missing file", 2, "settings", "check", "--settings", "none.json"),
		Entry("an unreachable server", 9, "status", "--server", "http://127.0.0.1:1"),
	)
})
