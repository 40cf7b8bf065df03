// Package room counts what a task needs and a worker has: processor, memory and
// accelerators.
package room

// Room is an amount of each resource of a worker.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int `cbor:"1,keyasint" json:"cpu"`
	// Memory is in MiB.
	Memory int `cbor:"2,keyasint" json:"memory"`
	// GPU is the number of accelerators.
	GPU int `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Fits reports whether need is at most r in every resource.
func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Plus returns the sum of both.
func (r Room) Plus(other Room) Room {
	return Room{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns r without other; resources may become negative.
func (r Room) Minus(other Room) Room {
	return Room{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Valid reports whether no resource is negative.
func (r Room) Valid() bool { return r.CPU >= 0 && r.Memory >= 0 && r.GPU >= 0 }
