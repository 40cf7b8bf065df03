// Package incarnation names processes: each start of a process gets a number that
// no other process has.
package incarnation

import (
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// New returns the number of a process that listens at an address; never 0. The time
// alone would not do: processes of several instances start in the same nanosecond
// of coarse clocks, and would then share their leases.
func New(address string) uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // ends the program if the system has no randomness
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	number := binary.BigEndian.Uint64(raw[:]) ^ h.Sum64() ^ uint64(time.Now().UnixNano())
	return max(number, 1)
}
