// Package room defines amounts of the resources that a task needs and a worker has: CPU, memory and
// GPUs.
package room

// Resources is an amount of each resource: the capacity of a worker, the part of it that is free, or
// what a task needs.
type Resources struct {
	// CPU is in millicores (thousandths of a core).
	CPU int `cbor:"1,keyasint" json:"cpu"`
	// Memory is in MiB.
	Memory int `cbor:"2,keyasint" json:"memory"`
	// GPU is the number of GPUs.
	GPU int `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Fits reports whether r covers need in every resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Sub returns r less other; amounts of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// IsNonNegative reports whether no amount is negative.
func (r Resources) IsNonNegative() bool { return r.CPU >= 0 && r.Memory >= 0 && r.GPU >= 0 }
