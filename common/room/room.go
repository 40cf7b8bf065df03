// Package room defines amounts of the resources that a task needs and a worker has: CPU, memory and
// GPUs.
package room

// Room is an amount of each resource: the capacity of a worker, the part of it that is free, or
// what a task needs.
type Room struct {
	// CPU is in millicores (thousandths of a core).
	CPU int `cbor:"1,keyasint" json:"cpu"`
	// Memory is in MiB.
	Memory int `cbor:"2,keyasint" json:"memory"`
	// GPU is the number of GPUs.
	GPU int `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Fits reports whether r covers need in every resource.
func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Plus returns the sum of r and other.
func (r Room) Plus(other Room) Room {
	return Room{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns r less other; amounts of the result may be negative.
func (r Room) Minus(other Room) Room {
	return Room{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Valid reports whether no amount is negative.
func (r Room) Valid() bool { return r.CPU >= 0 && r.Memory >= 0 && r.GPU >= 0 }
