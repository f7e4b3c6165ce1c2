// SPDX-License-Identifier: Apache-2.0

package bed

import "dewpass.org/sched"

// Deployment is the size of a cell and its tree.
type Deployment struct {
	Name     string
	Halls    []string
	Capacity sched.Vec
	// RacksPerHall and WorkersPerRack give the number of workers; each has Capacity.
	RacksPerHall   int
	WorkersPerRack int
	// EntriesPerOtherHall and RacksPerOtherHall are the numbers of entry instances
	// and racks in each hall but the first; 0 means the same number as in the first.
	EntriesPerOtherHall int
	RacksPerOtherHall   int
	// Tree is the file of the example tree; TreeDoc, if set, is used in its place.
	Tree    string
	TreeDoc []byte
}

// hallSize returns the numbers of entry instances and racks of a hall.
func (d Deployment) hallSize(hall, perHall int) (entries, racks int) {
	entries, racks = perHall, d.RacksPerHall
	if hall > 0 && d.EntriesPerOtherHall > 0 {
		entries = d.EntriesPerOtherHall
	}
	if hall > 0 && d.RacksPerOtherHall > 0 {
		racks = d.RacksPerOtherHall
	}
	return entries, racks
}

// Comhar and Kartvela are the two deployments in use.
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

// Named returns the deployment with a name, and whether there is one.
func Named(name string) (Deployment, bool) {
	for _, d := range []Deployment{Comhar, Kartvela} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}
