package pollenfront

// Resources are an amount of a backend server's resources.
//
//msgp:tuple Resources
type Resources struct {
	CPU    int `json:"cpu"`    // Thousandths of a core.
	GPU    int `json:"gpu"`    // Accelerators.
	Memory int `json:"memory"` // Mebibytes.
}

// Add returns r with other added.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, GPU: r.GPU + other.GPU, Memory: r.Memory + other.Memory}
}

// Sub returns r with other taken away. Its fields may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, GPU: r.GPU - other.GPU, Memory: r.Memory - other.Memory}
}

// Covers reports whether other fits into r.
func (r Resources) Covers(other Resources) bool {
	return r.CPU >= other.CPU && r.GPU >= other.GPU && r.Memory >= other.Memory
}
