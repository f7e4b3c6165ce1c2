// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("explain", func() {
	It("merges logs and prints the lines related to a request", func() {
		lines, err := parseLog(strings.NewReader(`
{"time":"3","instance":"b","event":"start","job":"j","worker":"w1"}
{"time":"1","instance":"a","event":"accepted","job":"j"}
{"time":"2","instance":"a","event":"accepted","job":"other"}
{"time":"2","instance":"b","event":"cell_lease_taken","why":"owner silent"}
{"time":"4","instance":"b","event":"lease_over","worker":"w1"}
{"time":"4","instance":"b","event":"lease_over","worker":"w2"}
not a line
{"time":"5","instance":"b","event":"job_ended","job":"j","state":"succeeded"}
`))
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(explain(&out, "j", lines)).To(Succeed())
		var events []string
		for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			events = append(events, strings.Fields(l)[2])
		}
		Expect(events).To(Equal([]string{"accepted", "cell_lease_taken", "start", "lease_over", "job_ended"}))
		Expect(explain(&out, "nobody", lines)).To(MatchError(ContainSubstring("not_found")))
	})
})
