package pollenfront

import "math"

// Resources is an amount of a backend server's resources.
//
//msgp:tuple Resources
type Resources struct {
	CPU    int `json:"cpu"`    // CPU is in thousandths of a core.
	GPU    int `json:"gpu"`    // GPU is the number of accelerators.
	Memory int `json:"memory"` // Memory is in mebibytes.
}

// MaxCapacity is the largest capacity of a server that is accepted: two million cores and two
// billion mebibytes. Sums over all servers of a fleet do not overflow with it.
var MaxCapacity = Resources{CPU: math.MaxInt32, GPU: math.MaxInt32, Memory: math.MaxInt32}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, GPU: r.GPU + other.GPU, Memory: r.Memory + other.Memory}
}

// Sub returns r minus other. Fields of the difference may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, GPU: r.GPU - other.GPU, Memory: r.Memory - other.Memory}
}

// Covers reports whether r is at least as large as other in every field.
func (r Resources) Covers(other Resources) bool {
	return r.CPU >= other.CPU && r.GPU >= other.GPU && r.Memory >= other.Memory
}
