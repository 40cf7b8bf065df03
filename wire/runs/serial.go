package runs

import "math"

// IsLater reports whether the serial number a of a record comes after b. The order is circular, so that
// each number has a successor: an entry can outrank any record of its address, whoever has sent it.
func IsLater(a, b uint64) bool {
	distance := int64(a - b)
	if distance == math.MinInt64 { // neither is nearer
		return a > b
	}
	return distance > 0
}
