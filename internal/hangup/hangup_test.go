// SPDX-License-Identifier: Apache-2.0

package hangup

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// packagePath is the path of this package in the runtime's trace of initialisations.
const packagePath = "dewpass.org/internal/hangup"

func TestHangupIsHandledRightAfterSignalsAreInitialised(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "dewpass")
	out, err := exec.Command("go", "build", "-o", binary, "dewpass.org/cmd/dewpass").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	cmd := exec.Command(binary, "--version")
	var trace bytes.Buffer
	cmd.Stderr = &trace
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	g.Expect(cmd.Run()).To(Succeed())
	var order []string
	for _, m := range regexp.MustCompile(`(?m)^init (\S+) @`).FindAllStringSubmatch(trace.String(), -1) {
		order = append(order, m[1])
	}
	at := slices.Index(order, packagePath)
	g.Expect(at).To(BeNumerically(">", 0))
	g.Expect(order[at-1]).To(Equal("os/signal"), "no package is initialised between os/signal and this one")
}
