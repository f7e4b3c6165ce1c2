// SPDX-License-Identifier: Apache-2.0

package sched

// Dim is a dimension of a Vec: a kind of resource.
type Dim int

// The dimensions of a Vec.
const (
	// MilliCPU is processor time in thousandths of a processor.
	MilliCPU Dim = iota
	// MemoryMiB is memory in MiB.
	MemoryMiB
	// Accelerators is a number of whole accelerators.
	Accelerators
	// Slots is the number of tasks at a time.
	Slots
	// Connections is the number of connections to the worker.
	Connections
	// NumDims is the number of dimensions.
	NumDims
)

// String returns the name of d as used in settings.
func (d Dim) String() string {
	return [...]string{"cpu", "memory", "accelerators", "slots", "connections"}[d]
}

// Vec is an amount of every resource: a capacity, a demand, or what is free.
type Vec [NumDims]int64

// Add returns v + o.
func (v Vec) Add(o Vec) Vec {
	for d := range v {
		v[d] += o[d]
	}
	return v
}

// Sub returns v - o.
func (v Vec) Sub(o Vec) Vec {
	for d := range v {
		v[d] -= o[d]
	}
	return v
}

// Scale returns v times n.
func (v Vec) Scale(n int64) Vec {
	for d := range v {
		v[d] *= n
	}
	return v
}

// Covers reports whether v is at least o in every dimension.
func (v *Vec) Covers(o *Vec) bool {
	return v[MilliCPU] >= o[MilliCPU] &&
		v[MemoryMiB] >= o[MemoryMiB] &&
		v[Accelerators] >= o[Accelerators] &&
		v[Slots] >= o[Slots] &&
		v[Connections] >= o[Connections]
}

// Max returns the larger of v and o in every dimension.
func (v Vec) Max(o Vec) Vec {
	for d := range v {
		v[d] = max(v[d], o[d])
	}
	return v
}

// Min returns the smaller of v and o in every dimension.
func (v Vec) Min(o Vec) Vec {
	for d := range v {
		v[d] = min(v[d], o[d])
	}
	return v
}

// IsZero reports whether v is zero in every dimension.
func (v Vec) IsZero() bool { return v == Vec{} }

// Share returns the dominant share of v in whole: the largest quotient over the dimensions in
// which whole is positive.
func (v Vec) Share(whole Vec) float64 {
	var share float64
	for d := range v {
		if whole[d] > 0 {
			share = max(share, float64(v[d])/float64(whole[d]))
		}
	}
	return share
}

// fits returns how many times unit fits into v, at most maxFits.
func (v Vec) fits(unit Vec) int64 {
	n := int64(maxFits)
	for d := range v {
		if unit[d] > 0 {
			n = min(n, v[d]/unit[d])
		}
	}
	return max(n, 0)
}

// maxFits limits the result of fits, which would be unbounded for a zero unit.
const maxFits = 1 << 20
