// SPDX-License-Identifier: Apache-2.0

package bed

import (
	"fmt"

	"dewpass.org/ports"
	"dewpass.org/sched"
	"dewpass.org/test/port"
)

// StandInConfig is the configuration of the stand-in process.
type StandInConfig struct {
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

// WorkerSpec is the configuration of one worker.
type WorkerSpec struct {
	ID       string    `json:"id"`
	Hall     string    `json:"hall"`
	Rack     string    `json:"rack"`
	Addr     string    `json:"addr"`
	Capacity sched.Vec `json:"capacity"`
}

// Instance returns the entry as the platform lists it.
func (e EntryAddr) Instance() ports.Instance {
	return ports.Instance{ID: e.ID, Role: ports.RoleEntry, Hall: e.Hall, Addr: e.Peer}
}

// Instance returns the worker as the platform lists it.
func (w WorkerSpec) Instance() ports.Instance {
	return ports.Instance{ID: w.ID, Role: ports.RoleWorker, Hall: w.Hall, Rack: w.Rack, Addr: w.Addr}
}

// assignPorts assigns free loopback ports to all parts of a deployment.
func assignPorts(d Deployment, perHall int, lane *port.Range) (StandInConfig, error) {
	needed := 2
	for i := range d.Halls {
		entries, racks := d.hallSize(i, perHall)
		needed += 2*entries + racks*d.WorkersPerRack
	}
	addrs, err := lane.Allocate(needed)
	if err != nil {
		return StandInConfig{}, err
	}
	next := func() string {
		addr := addrs[0]
		addrs = addrs[1:]
		return addr
	}
	s := StandInConfig{Platform: next(), Balancer: next()}
	for n, hall := range d.Halls {
		entries, racks := d.hallSize(n, perHall)
		for i := range entries {
			e := EntryAddr{ID: fmt.Sprintf("%s-%d", hall, i+1), Hall: hall, HTTP: next(), Peer: next()}
			s.Entries = append(s.Entries, e)
			s.Targets = append(s.Targets, e.HTTP)
		}
		for r := range racks {
			rack := fmt.Sprintf("%s-r%d", hall, r+1)
			for w := range d.WorkersPerRack {
				id := fmt.Sprintf("%s-w%d", rack, w+1)
				s.Workers = append(s.Workers, WorkerSpec{ID: id, Hall: hall, Rack: rack, Addr: next(), Capacity: d.Capacity})
			}
		}
	}
	return s, nil
}
