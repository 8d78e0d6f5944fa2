package pollenfront

// A Room is an amount of a backend server's resources.
//
//msgp:tuple Room
type Room struct {
	CPU    int `json:"cpu"`    // Thousandths of a core.
	GPU    int `json:"gpu"`    // Accelerators.
	Memory int `json:"memory"` // Mebibytes.
}

// Add returns r with other added.
func (r Room) Add(other Room) Room {
	return Room{CPU: r.CPU + other.CPU, GPU: r.GPU + other.GPU, Memory: r.Memory + other.Memory}
}

// Sub returns r with other taken away. Its fields may be negative.
func (r Room) Sub(other Room) Room {
	return Room{CPU: r.CPU - other.CPU, GPU: r.GPU - other.GPU, Memory: r.Memory - other.Memory}
}

// Holds reports whether other fits into r.
func (r Room) Holds(other Room) bool {
	return r.CPU >= other.CPU && r.GPU >= other.GPU && r.Memory >= other.Memory
}
