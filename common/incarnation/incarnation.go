// Package incarnation generates incarnation numbers. An incarnation is one run of a process, from
// its start to its end; its number distinguishes it from other processes and from previous runs of
// itself.
package incarnation

import (
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// New returns a number for the incarnation of a process that listens at address; never 0. It
// combines random bits, the address and the time. The time alone does not suffice: on coarse clocks
// several instances start in the same nanosecond, and two processes with the same number would
// share their leases.
func New(address string) uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // crashes the program if the system has no source of randomness
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	number := binary.BigEndian.Uint64(raw[:]) ^ h.Sum64() ^ uint64(time.Now().UnixNano())
	return max(number, 1)
}
