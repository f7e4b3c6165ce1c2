// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/test/bed"
)

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "proof")
}

var binaries string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "dewpass-proof")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binaries = dir
	args := []string{"-tags", "faults", "-o", dir, "dewpass.org/cmd/dewpass", "dewpass.org/test/standin"}
	if os.Getenv("PROOF_RACE") != "" {
		args = append([]string{"-race"}, args...)
	}
	build(args...)
})

func build(args ...string) {
	out, err := exec.Command("go", append([]string{"build"}, args...)...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
}

// startBed starts a deployment that is shut down when the spec ends. Before that it checks
// the workers' own record for violated rules.
func startBed(ctx context.Context, d bed.Deployment, perHall int) *bed.Bed {
	GinkgoHelper()
	return startBedWith(ctx, d, perHall, func(*bed.Options) {})
}

// startBedWith is startBed with further options.
func startBedWith(ctx context.Context, d bed.Deployment, perHall int, more func(*bed.Options)) *bed.Bed {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "dewpass-bed")
	Expect(err).NotTo(HaveOccurred())
	options := bed.Options{
		Deployment: d, EntriesPerHall: perHall, Dir: dir, TaskLease: taskLease, Debug: true,
		Dewpass:  filepath.Join(binaries, "dewpass"),
		StandIn:  filepath.Join(binaries, "standin"),
		Examples: "../../examples",
	}
	more(&options)
	b, err := bed.Start(ctx, options)
	DeferCleanup(func() { keepLogsOnFailure(dir) })
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(b.Close)
	DeferCleanup(func() { keepEventsOnFailure(b, dir) })
	DeferCleanup(func() {
		checkRecord(b)
		Expect(raceReports(dir)).To(BeEmpty(), "data races")
	})
	return b
}

// taskLease is short, so that leases expire soon, but longer than a takeover.
const taskLease = "8s"

// keepLogsOnFailure removes the logs of a spec unless it failed.
func keepLogsOnFailure(dir string) {
	if CurrentSpecReport().Failed() {
		GinkgoWriter.Println("logs are in", dir)
		return
	}
	_ = os.RemoveAll(dir)
}

// raceReports returns the log files with a report of the race detector, which runs with
// PROOF_RACE.
func raceReports(dir string) []string {
	var out []string
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, log := range logs {
		raw, err := os.ReadFile(log)
		if err == nil && bytes.Contains(raw, []byte("WARNING: DATA RACE")) {
			out = append(out, log)
		}
	}
	return out
}

// keepEventsOnFailure saves the events that the workers recorded if the spec failed.
func keepEventsOnFailure(b *bed.Bed, dir string) {
	if CurrentSpecReport().Failed() {
		writeEvents(b, dir)
	}
}

// writeEvents writes the events that the workers recorded to events.json, beside the logs.
func writeEvents(b *bed.Bed, dir string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var events json.RawMessage
	if b.Admin.Do(ctx, http.MethodGet, "/record/events", nil, &events) == nil {
		_ = os.WriteFile(filepath.Join(dir, "events.json"), events, 0o600)
	}
}

func checkRecord(b *bed.Bed) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s, err := b.Record(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Over).To(BeEmpty(), "workers given more than their capacity")
	Expect(s.Doubled).To(BeEmpty(), "tasks that ran in two places at once")
	Expect(s.Repeated).To(BeEmpty(), "work repeated that must not be repeated")
	Expect(s.AfterLeaving).To(BeEmpty(), "starts on leaving workers")
}
