// Package emulator runs the decision code of entries (core/batch, core/ledger) and agents
// (core/runner) together in virtual time, over a model of workers, links, callers, the platform's
// store and faults.
//
// It serves two purposes with the same simulation. Seeded schedules of faults check the guarantees
// of the system: a task has at most one run at a time, the capacity of a worker is never exceeded,
// a job refused as not run has not run, and a task whose end is acknowledged is not started again.
// Trials of a scenario measure the quality of the decisions: which jobs end in time, late, refused
// or failed, and the value of those outcomes.
//
// A simulation has one goroutine and a seeded source of random numbers, and iterates over
// everything in a fixed order, so that the same seed gives the same result.
package emulator
