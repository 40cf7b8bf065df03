// Package protocol holds the tests that drive the real decision code of many
// entries and agents together, under seeded schedules of faults in virtual
// time. It has no code of its own.
package protocol
