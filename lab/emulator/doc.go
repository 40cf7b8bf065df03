// Package emulator drives the decision code of entries (core/batch, core/ledger)
// and agents (core/runner) together in virtual time, over a model of workers,
// links, callers, the platform's store and faults.
//
// It serves two ends with one world. Seeded schedules of faults check what must
// always hold: one run of a task at a time, room never exceeded, true refusals,
// no start after a noted end. Plays of a named load measure how well is decided:
// which jobs end in time, late, refused or failed, and what that is worth.
//
// A world has one goroutine and one source of random numbers, and everything in
// it is walked in a fixed order, so that the same seed gives the same play.
package emulator
