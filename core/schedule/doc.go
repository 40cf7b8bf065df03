// Package schedule holds tests that drive entries (core/batch) and agents
// (core/runner) together with simulated workers and callers through seeded
// schedules of faults in virtual time, and check what must always hold.
package schedule
