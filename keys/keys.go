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

// checkInterval is the shortest interval between checks of the files.
const checkInterval = time.Second

// Files holds the paths of the files of a Pair, in PEM format.
type Files struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA holds the certificate authorities that must have signed the peer's
	// certificate. If it is "", a server asks for no client certificate.
	CA string `json:"ca,omitempty"`
}

// Pair is a certificate with its private key and certificate authorities.
type Pair struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load reads the files of a pair. Its error is of kind BadSettings.
func Load(f Files) (*Pair, error) {
	p := &Pair{files: f}
	if err := p.load(); err != nil {
		return nil, kind.Wrap(kind.BadSettings, err, "tls")
	}
	return p, nil
}

func (p *Pair) load() error {
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
			return kind.New(kind.BadSettings, p.files.CA+" contains no PEM certificate")
		}
	}
	p.cert, p.pool = &cert, pool
	p.modTimes = p.readModTimes()
	return nil
}

func (p *Pair) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{p.files.Cert, p.files.Key, p.files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the certificate and authorities in use. It reloads the files if
// they have changed.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.lastCheck) > checkInterval {
		p.lastCheck = now
		if p.readModTimes() != p.modTimes {
			// On an error the last valid pair stays in use. modTimes is
			// unchanged then, so the next check tries again.
			_ = p.load()
		}
	}
	return p.cert, p.pool
}

// ServerConfig returns a configuration for a listener. If the pair has authorities,
// clients must present a certificate that one of them has signed.
func (p *Pair) ServerConfig() *tls.Config {
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

// ClientConfig returns a configuration for dialling host, an IP address. The server
// must present a certificate for that address that one of the pair's authorities
// has signed.
func (p *Pair) ClientConfig(host string) *tls.Config {
	cert, pool := p.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
	}
}
