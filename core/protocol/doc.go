// Package protocol holds tests that run the decision cores of several entries and agents together,
// in virtual time and under seeded schedules of faults. It has no code of its own.
package protocol
