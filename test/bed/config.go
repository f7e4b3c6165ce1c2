// SPDX-License-Identifier: Apache-2.0

package bed

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"

	"dewpass.org/platform"
	"dewpass.org/sched"
)

// StandIn is the configuration of the stand-in process.
type StandIn struct {
	Platform string       `json:"platform"`
	Balancer string       `json:"balancer"`
	Targets  []string     `json:"targets"`
	Entries  []EntryAddr  `json:"entries"`
	Workers  []WorkerSpec `json:"workers"`
}

// EntryAddr is where an entry instance listens.
type EntryAddr struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
	HTTP string `json:"http"`
	Peer string `json:"peer"`
}

// WorkerSpec is one stand-in worker.
type WorkerSpec struct {
	ID       string    `json:"id"`
	Hall     string    `json:"hall"`
	Rack     string    `json:"rack"`
	Addr     string    `json:"addr"`
	Capacity sched.Vec `json:"capacity"`
}

// Instance returns the entry as the platform lists it.
func (e EntryAddr) Instance() platform.Instance {
	return platform.Instance{ID: e.ID, Role: platform.RoleEntry, Hall: e.Hall, Addr: e.Peer}
}

// plan lays a deployment out on free ports of the loopback.
func plan(d Deployment, perHall int) (StandIn, error) {
	workers := len(d.Halls) * d.RacksPerHall * d.WorkersPerRack
	ports, err := freePorts(2 + workers + 2*perHall*len(d.Halls))
	if err != nil {
		return StandIn{}, err
	}
	next := func() string {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	s := StandIn{Platform: next(), Balancer: next()}
	for _, hall := range d.Halls {
		for i := range perHall {
			e := EntryAddr{ID: fmt.Sprintf("%s-%d", hall, i+1), Hall: hall, HTTP: next(), Peer: next()}
			s.Entries = append(s.Entries, e)
			s.Targets = append(s.Targets, e.HTTP)
		}
		for r := range d.RacksPerHall {
			rack := fmt.Sprintf("%s-r%d", hall, r+1)
			for w := range d.WorkersPerRack {
				id := fmt.Sprintf("%s-w%d", rack, w+1)
				s.Workers = append(s.Workers, WorkerSpec{ID: id, Hall: hall, Rack: rack, Addr: next(), Capacity: d.Capacity})
			}
		}
	}
	return s, nil
}

// The ports of beds lie below those that the kernel gives to outgoing
// connections, so that a process that is restarted finds its port free.
const (
	firstPort = 10000
	numPorts  = 22000
	portStep  = 1543
)

// nextPort is where the next bed of this process looks for ports.
var nextPort struct {
	sync.Mutex
	at int
}

// freePorts returns addresses of the loopback that nobody listens on.
func freePorts(n int) ([]string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	if nextPort.at == 0 {
		nextPort.at = os.Getpid() * portStep
	}
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > numPorts {
			return nil, errors.New("no free ports")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.at%numPorts)
		nextPort.at++
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, addr)
	}
	return out, nil
}
