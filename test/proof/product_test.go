// SPDX-License-Identifier: Apache-2.0

package proof

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dewpass.org/front"
	"dewpass.org/internal/client"
	"dewpass.org/keys"
	"dewpass.org/test/bed"
	"dewpass.org/test/load"
)

// runCommand runs the command-line client against a deployment.
func runCommand(ctx context.Context, b *bed.Bed, args ...string) (code int, out string) {
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, "dewpass"), args...)
	cmd.Env = append(os.Environ(), "DEWPASS_SERVER="+b.Balancer.Base)
	raw, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		Fail(err.Error())
	}
	return cmd.ProcessState.ExitCode(), string(raw)
}

var _ = Describe("the product", func() {
	It("can be operated from the command line", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 2)
		ok := func(args ...string) string {
			GinkgoHelper()
			code, out := runCommand(ctx, b, args...)
			Expect(code).To(BeZero(), out)
			return out
		}
		Expect(ok("tree", "get", "tinting/shade-lookup.deadline")).To(ContainSubstring("1500ms"))
		Expect(ok("tree", "set", "tinting/shade-lookup.deadline", "800ms", "--base", "1")).To(ContainSubstring("800ms"))
		ok("tree", "wait", "2")
		Expect(ok("workload", "tinting/shade-lookup")).To(MatchRegexp(`deadline +"800ms" +tinting/shade-lookup`))
		ok("tree", "set", "--base", "1", "nightly.class", "standard")
		code, out := runCommand(ctx, b, "tree", "set", "--base", "1", "tinting/shade-lookup.deadline", "900ms")
		Expect(code).To(Equal(4))
		Expect(out).To(And(ContainSubstring("800ms"), ContainSubstring("900ms")))
		code, out = runCommand(ctx, b, "tree", "set", "tinting/shade-lookup.memory", "5GB")
		Expect(code).To(Equal(2))
		Expect(out).To(ContainSubstring("/branches/tinting/branches/shade-lookup/settings/memory"))
		ok("tree", "unset", "tinting/shade-lookup.start-within", "tinting/shade-lookup.estimate")
		code, _ = runCommand(ctx, b, "tree", "get", "tinting/shade-lookup.estimate")
		Expect(code).To(Equal(3))
		Expect(ok("tree", "log", "--after", "1")).To(ContainSubstring("nightly.class"))
		Expect(ok("tree", "diff", "../../examples/comhar-dathanna.json")).To(ContainSubstring("nightly.class"))
		Expect(ok("status")).To(MatchRegexp(`carlow-hall-r2 +carlow-hall +carlow-hall-\d`))
		var s front.Status
		Expect(json.Unmarshal([]byte(ok("status", "--output", "json")), &s)).To(Succeed())
		Expect(s.Racks).To(HaveLen(6))
		Eventually(func() string { return ok("jobs", "list", "--state", "running") }).Should(ContainSubstring("tintline/matcher"))
	}, SpecTimeout(specTimeout))

	It("rejects invalid input with a kind and a path, and keeps serving", func(ctx context.Context) {
		b := startBed(ctx, bed.Comhar, 1)
		base := b.Entries[0].Client().Base
		post := func(kind, path, contentType, body string) {
			GinkgoHelper()
			resp, err := http.Post(base+"/v1/calls", contentType, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			var f front.Failure
			Expect(json.NewDecoder(resp.Body).Decode(&f)).To(Succeed())
			Expect(f.Kind).To(Equal(kind), f.Detail)
			Expect(f.Path + f.Detail).To(ContainSubstring(path))
			Expect(f.Outcome).To(Equal("not_run"))
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		const js = "application/json"
		post("bad_request", "colour", js, `{"workload":"tinting/shade-lookup","shop":"s","colour":1}`)
		post("bad_request", "/deadline_ms", js, `{"workload":"tinting/shade-lookup","shop":"s","deadline_ms":"5s"}`)
		post("bad_request", "line 1", js, `{"workload":"tint`)
		post("too_large", "", js, strings.Repeat(" ", 300<<10))
		post("unknown_workload", "/workload", js, `{"workload":"nope","shop":"s"}`)
		post("content_type", "text/plain", "text/plain", `{}`)
		post("bad_request", "/key", js, `{"workload":"tinting/dispense-order","shop":"s"}`)
		conn, err := net.Dial("tcp", b.Entries[0].Addr.Peer)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.CopyN(conn, rand.Reader, 1<<16)
		_ = conn.Close()
		_, err = load.Call(ctx, b.Entries[0].Client(), load.NewItem("tinting/shade-lookup", time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
	}, SpecTimeout(specTimeout))

	It("uses TLS to callers and between instances, and reloads keys while it runs", func(ctx context.Context) {
		dir := GinkgoT().TempDir()
		ca := newAuthority()
		files := keys.Files{Cert: dir + "/cert.pem", Key: dir + "/key.pem", CA: dir + "/ca.pem"}
		ca.issue(files, 1)
		b := startBedWith(ctx, bed.Comhar, 2, func(o *bed.Options) { o.TLS = &files })
		openWindows(ctx, b)
		serial := func() int64 {
			var got int64
			c := b.Entries[0].Client()
			raw, err := c.HTTP.Get(c.Base + "/healthz")
			if err == nil {
				got = raw.TLS.PeerCertificates[0].SerialNumber.Int64()
				_ = raw.Body.Close()
			}
			c.HTTP.CloseIdleConnections()
			return got
		}
		Expect(serial()).To(BeEquivalentTo(1))
		Expect(os.WriteFile(files.Cert, []byte("half a file"), 0o600)).To(Succeed())
		Consistently(serial, 2*time.Second).Should(BeEquivalentTo(1), "the former certificate must stay in use")
		ca.issue(files, 2)
		Eventually(serial).Should(BeEquivalentTo(2))
		for _, p := range b.Entries {
			_, err := load.Call(ctx, p.Client(), load.NewItem("tinting/shade-lookup", time.Millisecond))
			Expect(err).NotTo(HaveOccurred())
		}
		stranger := &client.Client{Base: b.Entries[0].Client().Base, HTTP: &http.Client{Timeout: time.Second}}
		Expect(stranger.Do(ctx, http.MethodGet, "/v1/status", nil, nil)).NotTo(Succeed())
	}, SpecTimeout(specTimeout))

	It("exports a span for each hop", func(ctx context.Context) {
		var mu sync.Mutex
		var seen bytes.Buffer
		receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			_, _ = io.Copy(&seen, r.Body)
		}))
		DeferCleanup(receiver.Close)
		// With three instances for two racks, one owns no rack and forwards its calls.
		b := startBedWith(ctx, bed.Comhar, 3, func(o *bed.Options) { o.OTLP = receiver.URL })
		for _, p := range b.Entries {
			_, err := load.Call(ctx, p.Client(), load.NewItem("tinting/shade-lookup", time.Millisecond))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() string {
			mu.Lock()
			defer mu.Unlock()
			return seen.String()
		}).Should(And(ContainSubstring("front.call"), ContainSubstring("front.forward"),
			ContainSubstring("owner.call"), ContainSubstring("worker.start")))
		resp, err := http.Get(b.Entries[0].Client().Base + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring("dewpass_request"))
	}, SpecTimeout(specTimeout))
})

// authority issues certificates for 127.0.0.1.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(99), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{key: key, cert: cert, pem: pemBlock("CERTIFICATE", der)}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func (a *authority) issue(f keys.Files, serial int64) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(f.CA, a.pem, 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Key, pemBlock("PRIVATE KEY", raw), 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Cert, pemBlock("CERTIFICATE", der), 0o600)).To(Succeed())
}
