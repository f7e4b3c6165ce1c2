// SPDX-License-Identifier: Apache-2.0

package drain

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

var _ = Describe("a server that stops", func() {
	It("answers a request that is written to an idle connection, and closes then", func(ctx context.Context) {
		var conns Conns
		leaving := false
		s := &http.Server{ConnState: conns.Note, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if leaving {
				w.Header().Set("Connection", "close")
			}
		})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		reader := bufio.NewReader(c)
		ask := func() (*http.Response, error) {
			fmt.Fprint(c, request)
			return http.ReadResponse(reader, nil)
		}
		_, err = ask()
		Expect(err).NotTo(HaveOccurred())
		leaving = true
		Expect(l.Close()).To(Succeed())
		gone := make(chan struct{})
		go func() { conns.Wait(ctx); close(gone) }()
		Consistently(gone, 200*time.Millisecond).ShouldNot(BeClosed())
		resp, err := ask()
		Expect(err).NotTo(HaveOccurred(), "the request was cut")
		Expect(resp.Close).To(BeTrue())
		Eventually(gone).Should(BeClosed())
	})
})
