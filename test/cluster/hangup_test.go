// SPDX-License-Identifier: Apache-2.0

package cluster

import (
	"net/http"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A process that was told of changed settings just after its start, or during a planned stop, ended
// at once: SIGHUP was caught only from when the settings had been read until the stop began. One
// run of the soak (seed 7) had an instance without a line after its restart, which SIGHUP had
// followed at once, and which never came back.
var _ = Describe("an instance that is told of changed settings", func() {
	It("goes on when that comes at any time after its first instructions", func() {
		const starts, latest = 80, 8 * time.Millisecond
		b := newBed(1)
		e := b.entries[0]
		Expect(syscall.Mkfifo(e.settings, 0o600)).To(Succeed())
		guarded := 0
		for i := range starts {
			e.run()
			time.Sleep(latest * time.Duration(i) / starts)
			if !e.hangUp().guarded {
				e.kill()
				continue
			}
			guarded++
			// It has come to its settings, for which it waits as long as they are open, or to
			// its end.
			var settings *os.File
			Eventually(func() bool {
				var err error
				settings, err = os.OpenFile(e.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
				return err == nil || hangupOf(e.cmd.Process.Pid).over
			}, "10s", time.Millisecond).Should(BeTrue())
			over := hangupOf(e.cmd.Process.Pid).over
			e.kill()
			_ = settings.Close()
			Expect(over).To(BeFalse(), "start %d: %v", i, e.cmd.ProcessState)
		}
		Expect(guarded).To(BeNumerically(">", 0))
	})

	It("goes on when that comes before its settings are read", func() {
		b := newBed(1)
		e := b.entries[0]
		Expect(syscall.Mkfifo(e.settings, 0o600)).To(Succeed())
		e.run()
		DeferCleanup(e.kill)
		// It waits for what its settings say.
		settings, err := os.OpenFile(e.settings, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		e.signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		Expect(e.cmd.Process.Signal(syscall.Signal(0))).To(Succeed())
		_, err = settings.Write(b.settingsOf(e, "6s"))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Close()).To(Succeed())
		Eventually(func() int { return b.get("http://"+e.ready+"/dewpass/ready", nil) }).Should(Equal(http.StatusOK))
	})

	It("ends as planned when that comes during a planned stop", func() {
		b := start()
		e := b.entries[0]
		e.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		e.signal(syscall.SIGHUP)
		Expect(e.cmd.Wait()).To(Succeed())
		e.run()
		b.waitReady()
	})
})
