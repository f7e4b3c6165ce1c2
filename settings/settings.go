// SPDX-License-Identifier: Apache-2.0

package settings

import (
	_ "embed"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"dewpass.org/internal/schema"
	"dewpass.org/keys"
	"dewpass.org/kind"
)

//go:embed schema.json
var schemaJSON []byte

var settingsSchema = schema.MustCompile("settings.json", schemaJSON)

// Settings are the settings of one instance.
type Settings struct {
	Instance string   `json:"instance"`
	Hall     string   `json:"hall"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Peers are addresses at which other instances may be found at first.
	Peers   []string `json:"peers"`
	TLS     TLS      `json:"tls"`
	Log     Log      `json:"log"`
	Tracing Tracing  `json:"tracing"`
	Pprof   bool     `json:"pprof"`
	// TaskLease is how long tasks go on at a worker that hears nothing.
	TaskLease Duration `json:"task-lease"`
	// StopWithin bounds a planned stop.
	StopWithin Duration `json:"stop-within"`
	// MemoryLimitMiB is the memory that the runtime tries to stay within; 0 is
	// no limit.
	MemoryLimitMiB int64 `json:"memory-limit-mib"`
	// Cluster is set where the users' platform keeps the rows and lists the
	// workers; Platform is not used then.
	Cluster *Cluster `json:"cluster"`
}

// Cluster says where the services of the users' platform are, each as an
// address by IP number, and what holds there.
type Cluster struct {
	Store    string `json:"store"`
	Machines string `json:"machines"`
	Policy   string `json:"policy"`
	// Ready is where the platform asks whether to send clients here.
	Ready string `json:"ready"`
	// Metrics is where the metrics are served, "" for nowhere.
	Metrics string `json:"metrics"`
	// Lease is how long runs go on at a worker that hears nothing. The platform
	// cuts it down to LeaseMost.
	Lease     Duration `json:"lease"`
	LeaseMost Duration `json:"lease-most"`
	// Keep is how long a job that is over can be asked for.
	Keep Duration `json:"keep"`
	// Processor is the share of a processor that the instance has; those with
	// more of it own cells first. 0 is not known.
	Processor float64 `json:"processor"`
	// LinkMbps is what the instance's link carries, in Mbit/s: long lists are read in
	// pieces that do not hold up other answers. 0 is not known.
	LinkMbps float64 `json:"link-mbps"`
	// Cells is how many cells the workers are divided into, by their racks, when the
	// deployment starts for the first time; 0 goes by the number of workers then.
	// It stays as it was decided.
	Cells int `json:"cells"`
	// Grace is how long the platform waits for a planned stop.
	Grace Duration `json:"grace"`
}

// Listen holds the addresses that an instance listens on, by IP number.
type Listen struct {
	HTTP string `json:"http"`
	Peer string `json:"peer"`
}

// Platform says where the platform is.
type Platform struct {
	URL string `json:"url"`
}

// TLS names the key files; nil is plain TCP.
type TLS struct {
	HTTP *keys.Files `json:"http"`
	Peer *keys.Files `json:"peer"`
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"`
}

// Tracing says where traces go.
type Tracing struct {
	// OTLP is the URL of a receiver over HTTP; "" is none.
	OTLP string `json:"otlp"`
}

// Duration is a time.Duration written as "12s".
type Duration time.Duration

// UnmarshalJSON reads d from a string.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// The defaults of the settings.
const (
	defaultTaskLease  = 20 * time.Second
	defaultStopWithin = 30 * time.Second
	minTaskLease      = 2 * time.Second
	defaultLease      = 6 * time.Second
	defaultKeep       = 2 * time.Minute
	defaultGrace      = 6 * time.Second
)

// Load reads a file of settings.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, kind.Wrap(kind.BadSettings, err, "settings")
	}
	return Parse(raw)
}

// Parse checks settings and fills in the defaults. Its error, of kind
// BadSettings, names every fault with its path.
func Parse(raw []byte) (*Settings, error) {
	faults := settingsSchema.Check(raw)
	s := &Settings{
		TaskLease:  Duration(defaultTaskLease),
		StopWithin: Duration(defaultStopWithin),
	}
	if err := json.Unmarshal(raw, s); err == nil {
		faults = append(faults, s.check()...)
	}
	if s.Cluster != nil {
		s.Cluster.fill()
	}
	if len(faults) > 0 {
		return nil, kind.At(kind.BadSettings, faults[0].Path, schema.Join(faults))
	}
	return s, nil
}

// LinkRate returns how many bytes a second the link carries, 0 if that is not known.
func (c *Cluster) LinkRate() int { return int(c.LinkMbps * 1e6 / 8) }

// fill sets the defaults of what was left out.
func (c *Cluster) fill() {
	if c.Lease == 0 {
		c.Lease = Duration(defaultLease)
	}
	if c.LeaseMost > 0 {
		c.Lease = min(c.Lease, c.LeaseMost)
	}
	if c.Keep == 0 {
		c.Keep = Duration(defaultKeep)
	}
	if c.Grace == 0 {
		c.Grace = Duration(defaultGrace)
	}
}

// check finds what the schema cannot.
func (s *Settings) check() []schema.Fault {
	var faults []schema.Fault
	add := func(path, detail string) { faults = append(faults, schema.Fault{Path: path, Detail: detail}) }
	for path, addr := range map[string]string{"/listen/http": s.Listen.HTTP, "/listen/peer": s.Listen.Peer} {
		if addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			add(path, err.Error())
		}
	}
	if s.Listen.HTTP != "" && s.Listen.HTTP == s.Listen.Peer {
		add("/listen/peer", "is the same as /listen/http")
	}
	if time.Duration(s.TaskLease) < minTaskLease {
		add("/task-lease", "must be at least "+minTaskLease.String())
	}
	if s.TLS.Peer != nil && s.TLS.Peer.CA == "" {
		add("/tls/peer/ca", "is needed, so that instances know each other")
	}
	return faults
}
