// SPDX-License-Identifier: Apache-2.0

package bed

import "dewpass.org/sched"

// Deployment is the shape of a cell.
type Deployment struct {
	Name     string
	Halls    []string
	Capacity sched.Vec
	// RacksPerHall and WorkersPerRack give the workers.
	RacksPerHall   int
	WorkersPerRack int
	// FarPerHall and FarRacks are the numbers of instances and racks of all
	// halls but the first, where they differ from it; 0 is as in the first.
	FarPerHall int
	FarRacks   int
	// Tree is the name of the example tree, and Doc a tree in its place.
	Tree string
	Doc  []byte
}

// size returns the numbers of instances and racks of a hall.
func (d Deployment) size(hall, perHall int) (entries, racks int) {
	entries, racks = perHall, d.RacksPerHall
	if hall > 0 && d.FarPerHall > 0 {
		entries = d.FarPerHall
	}
	if hall > 0 && d.FarRacks > 0 {
		racks = d.FarRacks
	}
	return entries, racks
}

// The two deployments of today.
var (
	Comhar = Deployment{
		Name: "comhar", Halls: []string{"naas-hall", "athy-hall", "carlow-hall"},
		Capacity:     sched.Vec{16000, 32 << 10, 0, 8, 64},
		RacksPerHall: 2, WorkersPerRack: 8, Tree: "comhar-dathanna.json",
	}
	Kartvela = Deployment{
		Name: "kartvela", Halls: []string{"kutaisi-a", "kutaisi-b", "zestafoni"},
		Capacity:     sched.Vec{32000, 64 << 10, 0, 8, 64},
		RacksPerHall: 2, WorkersPerRack: 8, Tree: "kartvela.json",
	}
)

// Named returns a deployment by its name.
func Named(name string) (Deployment, bool) {
	for _, d := range []Deployment{Comhar, Kartvela} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}
