// SPDX-License-Identifier: Apache-2.0

package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"dewpass.org/kind"
)

// lookEvery bounds how often the files are looked at.
const lookEvery = time.Second

// Files names the files of a Pair.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA holds the authorities that the other side's certificate must come
	// from; "" asks the other side for none.
	CA string `json:"ca,omitempty"`
}

// Pair is a certificate with its key and authorities.
type Pair struct {
	files Files

	mu     sync.Mutex
	looked time.Time
	stamp  [3]time.Time
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// Load reads a pair. Its error is of kind BadSettings.
func Load(f Files) (*Pair, error) {
	p := &Pair{files: f}
	if err := p.read(); err != nil {
		return nil, kind.Wrap(kind.BadSettings, err, "tls")
	}
	return p, nil
}

func (p *Pair) read() error {
	cert, err := tls.LoadX509KeyPair(p.files.Cert, p.files.Key)
	if err != nil {
		return err
	}
	var pool *x509.CertPool
	if p.files.CA != "" {
		raw, err := os.ReadFile(p.files.CA)
		if err != nil {
			return err
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(raw) {
			return kind.New(kind.BadSettings, p.files.CA+" holds no certificate")
		}
	}
	p.cert, p.pool = &cert, pool
	p.stamp = p.stamps()
	return nil
}

func (p *Pair) stamps() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{p.files.Cert, p.files.Key, p.files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the certificate and authorities in use.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.looked) > lookEvery {
		p.looked = now
		if p.stamps() != p.stamp {
			// An error keeps the last good pair; the stamps differ still, so
			// the files are read again at the next look.
			_ = p.read()
		}
	}
	return p.cert, p.pool
}

// Server returns a configuration for a listener. With authorities, clients
// must show a certificate of theirs.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// Client returns a configuration for dialling an address by IP number. The
// other side must show a certificate of the authorities for that number.
func (p *Pair) Client(host string) *tls.Config {
	cert, pool := p.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
	}
}
