// Package drains keeps what a process knows of the data centres that the operator has
// drained: their workers finish what runs and are given nothing new.
//
// Views are ordered by the version of the store that they were read at, and never go
// back: a neighbour that was cut off may pass on an older one. A view also has an age,
// the time since it was certainly the newest, so that one who depends on others for it
// can tell when to ask the store itself.
//
// The package is pure: views and times go in.
package drains

import (
	"slices"
	"time"

	"peridotpick.example/wire/runs"
)

// State is what one process knows. Its zero value knows nothing.
type State struct {
	version     uint64
	dataCentres []string
	// confirmedAt is when the view was certainly the newest.
	confirmedAt time.Time
}

// Learn takes a view that is not older than the present one. It reports whether other
// data centres are drained than before.
func (s *State) Learn(now time.Time, v runs.Drains) (changed bool) {
	if v.Version == 0 || v.Version < s.version {
		return false
	}
	if at := now.Add(-v.Age); at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	if v.Version == s.version {
		return false
	}
	s.version = v.Version
	if slices.Equal(s.dataCentres, v.DataCentres) {
		return false
	}
	s.dataCentres = slices.Clone(v.DataCentres)
	return true
}

// View returns what is known, to be passed on.
func (s *State) View(now time.Time) runs.Drains {
	if s.version == 0 {
		return runs.Drains{}
	}
	return runs.Drains{Version: s.version, DataCentres: s.dataCentres, Age: s.Age(now)}
}

// Has reports whether a data centre is drained.
func (s *State) Has(dataCentre string) bool { return slices.Contains(s.dataCentres, dataCentre) }

// DataCentres returns the drained ones.
func (s *State) DataCentres() []string { return s.dataCentres }

// Age returns the time since the view was certainly the newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.confirmedAt) }
