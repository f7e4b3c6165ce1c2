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
	// Peers are the addresses at which to look for other instances at the start.
	Peers   []string `json:"peers"`
	TLS     TLS      `json:"tls"`
	Log     Log      `json:"log"`
	Tracing Tracing  `json:"tracing"`
	Pprof   bool     `json:"pprof"`
	// TaskLease is how long a worker that receives no renewal keeps running its
	// tasks.
	TaskLease Duration `json:"task-lease"`
	// StopWithin is the longest duration of a planned stop.
	StopWithin Duration `json:"stop-within"`
	// MemoryLimitMiB is the soft memory limit of the Go runtime; 0 is none.
	MemoryLimitMiB int64 `json:"memory-limit-mib"`
	// Cluster is set if the users' platform stores the rows and lists the workers.
	// Platform is not used then.
	Cluster *Cluster `json:"cluster"`
}

// Cluster holds the addresses of the services of the users' platform, by IP
// address, and the parameters that apply there.
type Cluster struct {
	Store    string `json:"store"`
	Machines string `json:"machines"`
	Policy   string `json:"policy"`
	// Ready is the address at which the platform checks whether to send clients
	// to this instance.
	Ready string `json:"ready"`
	// Metrics is the address at which metrics are served; "" disables them.
	Metrics string `json:"metrics"`
	// Lease is how long runs continue at a worker that receives no renewal. It is
	// limited to LeaseMost, the longest lease that the platform grants.
	Lease     Duration `json:"lease"`
	LeaseMost Duration `json:"lease-most"`
	// Keep is how long a job can be queried after it has ended.
	Keep Duration `json:"keep"`
	// Processor is the share of a processor that the instance has, 0 if unknown.
	// Instances with a larger share own cells first.
	Processor float64 `json:"processor"`
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s, 0 if
	// unknown. Long lists are read in parts small enough not to delay other
	// responses on the link.
	LinkMbps float64 `json:"link-mbps"`
	// Cells is the number of cells into which the workers are divided, by their
	// racks, when the deployment starts for the first time. If it is 0, the number
	// is derived from the number of workers at that time. It does not change later.
	Cells int `json:"cells"`
	// FairSharing divides full pools of workers fairly between client accounts.
	FairSharing bool `json:"fair-sharing"`
	// Headroom keeps a part of each pool free for the tasks of its most urgent
	// queues.
	Headroom bool `json:"headroom"`
	// Grace is how long the platform waits for a planned stop.
	Grace Duration `json:"grace"`
	// Admission enables the refusal of jobs that cannot meet their objective because of the work
	// that waits before them.
	Admission bool `json:"admission"`
	// WorkerSpeed enables learning the speeds of workers and choosing workers by them.
	WorkerSpeed bool `json:"worker-speed"`
}

// Listen holds the addresses on which an instance listens, by IP address.
type Listen struct {
	HTTP string `json:"http"`
	Peer string `json:"peer"`
}

// Platform holds the address of the platform.
type Platform struct {
	URL string `json:"url"`
}

// TLS holds the TLS files for each listener; nil means plain TCP.
type TLS struct {
	HTTP *keys.Files `json:"http"`
	Peer *keys.Files `json:"peer"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
}

// Tracing configures the export of traces.
type Tracing struct {
	// OTLP is the URL of an OTLP receiver over HTTP; "" disables tracing.
	OTLP string `json:"otlp"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "12s".
type Duration time.Duration

// UnmarshalJSON decodes d from a string.
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

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, kind.Wrap(kind.BadSettings, err, "settings")
	}
	return Parse(raw)
}

// Parse validates settings and sets defaults. Its error, of kind BadSettings,
// lists every fault with its path.
func Parse(raw []byte) (*Settings, error) {
	faults := settingsSchema.Check(raw)
	s := &Settings{
		TaskLease:  Duration(defaultTaskLease),
		StopWithin: Duration(defaultStopWithin),
	}
	if err := json.Unmarshal(raw, s); err == nil {
		faults = append(faults, s.validate()...)
	}
	if s.Cluster != nil {
		s.Cluster.setDefaults()
	}
	if len(faults) > 0 {
		return nil, kind.At(kind.BadSettings, faults[0].Path, schema.Join(faults))
	}
	return s, nil
}

// LinkRate returns the bandwidth of the link in bytes per second, 0 if unknown.
func (c *Cluster) LinkRate() int { return int(c.LinkMbps * 1e6 / 8) }

// setDefaults sets fields that are absent, and limits Lease to LeaseMost.
func (c *Cluster) setDefaults() {
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

// validate checks what the schema cannot express.
func (s *Settings) validate() []schema.Fault {
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
		add("/tls/peer/ca", "is required, so that instances can authenticate each other")
	}
	return faults
}
