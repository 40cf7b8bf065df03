// Package drains holds a process's view of the data centres that the operator has drained: their
// workers finish their runs and get nothing new.
//
// A view carries the version of the store at which it was read. An older view never replaces a
// newer one: an entry that was cut off from the store may pass on an older one. A view also has
// an age, the time since it was certainly the newest, by which a process that depends on others
// for its view decides when to ask the store itself.
//
// The package is pure: views and times go in.
package drains

import (
	"slices"
	"time"

	"peridotpick.example/wire/runs"
)

// State is the view of one process. The zero value has no view.
type State struct {
	version     uint64
	dataCentres []string
	// confirmedAt is when the view was certainly the newest.
	confirmedAt time.Time
}

// Update takes a view unless it is older than the present one, and the time of its confirmation.
// It reports whether the set of drained data centres has changed.
func (s *State) Update(now time.Time, v runs.DrainView) (changed bool) {
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

// View returns the present view with its age, to be sent to other processes.
func (s *State) View(now time.Time) runs.DrainView {
	if s.version == 0 {
		return runs.DrainView{}
	}
	return runs.DrainView{Version: s.version, DataCentres: s.dataCentres, Age: s.Age(now)}
}

// IsDrained reports whether a data centre is drained.
func (s *State) IsDrained(dataCentre string) bool { return slices.Contains(s.dataCentres, dataCentre) }

// DataCentres returns the drained data centres.
func (s *State) DataCentres() []string { return s.dataCentres }

// Age returns the time since the view was certainly the newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.confirmedAt) }
