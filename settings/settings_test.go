// SPDX-License-Identifier: Apache-2.0

package settings_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/kind"
	"dewpass.org/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `{"instance":"a-1","hall":"a","listen":{"http":"127.0.0.1:1","peer":"[::1]:2"},"platform":{"url":"http://127.0.0.1:3"}}`

var _ = Describe("settings", func() {
	It("have defaults", func() {
		s, err := settings.Parse([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Duration(s.TaskLease)).To(Equal(20 * time.Second))
	})

	It("are refused with an error that names all of three faults", func() {
		_, err := settings.Parse([]byte(`{"instance":"A 1","hall":"a","listen":{"http":"localhost:1","peer":"127.0.0.1:2"},"platform":{"url":"http://p"},"task-lease":"1s"}`))
		Expect(kind.Is(err, kind.BadSettings)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring("/instance"), ContainSubstring("/listen/http"), ContainSubstring("/task-lease")))
	})

	DescribeTable("leave a feature off unless it is set", func(name string, get func(*settings.Cluster) bool) {
		for setting, want := range map[string]bool{"": false, `,"` + name + `":false`: false, `,"` + name + `":true`: true} {
			s, err := settings.Parse([]byte(clusterSettings(setting)))
			Expect(err).NotTo(HaveOccurred())
			Expect(get(s.Cluster)).To(Equal(want), setting)
		}
		_, err := settings.Parse([]byte(clusterSettings(`,"` + name + `":"on"`)))
		Expect(err).To(MatchError(ContainSubstring("/cluster/" + name)))
	},
		Entry("admission", "admission", func(c *settings.Cluster) bool { return c.Admission }),
		Entry("fair sharing", "fair-sharing", func(c *settings.Cluster) bool { return c.FairSharing }),
		Entry("headroom", "headroom", func(c *settings.Cluster) bool { return c.Headroom }),
		Entry("worker speed", "worker-speed", func(c *settings.Cluster) bool { return c.WorkerSpeed }),
	)

	DescribeTable("are refused with", func(raw, path string) {
		_, err := settings.Parse([]byte(raw))
		Expect(err).To(MatchError(ContainSubstring(path)))
	},
		Entry("an unknown field", `{"instance":"a","hall":"a","listen":{"http":"127.0.0.1:1","peer":"127.0.0.1:2"},"platform":{"url":"http://p"},"colour":1}`, "colour"),
		Entry("the same address for HTTP and peers", `{"instance":"a","hall":"a","listen":{"http":"127.0.0.1:1","peer":"127.0.0.1:1"},"platform":{"url":"http://p"}}`, "/listen/peer"),
		Entry("an invalid IP address", `{"instance":"a","hall":"a","listen":{"http":"127.0.0.900:1","peer":"127.0.0.1:1"},"platform":{"url":"http://p"}}`, "/listen/http"),
		Entry("peer TLS files without certificate authorities", `{"instance":"a","hall":"a","listen":{"http":"127.0.0.1:1","peer":"127.0.0.1:2"},"platform":{"url":"http://p"},"tls":{"peer":{"cert":"c","key":"k"}}}`, "/tls/peer/ca"),
	)
})

// clusterSettings returns settings of an instance on a cluster with some more fields of it.
func clusterSettings(more string) string {
	return `{"instance":"a","hall":"a","listen":{"http":"127.0.0.1:1","peer":"127.0.0.1:2"},"cluster":{"store":"127.0.0.1:3","ready":"127.0.0.1:4"` + more + `}}`
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = settings.Parse(raw) })
}
