package emulator

import (
	"path"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/settings"
)

// Scenario is a load and the faults that come with it.
type Scenario struct {
	// Name is that of its file.
	Name string `json:"-"`
	// About says what the scenario is for.
	About string `json:"about"`
	// Duration is how long callers send jobs.
	Duration settings.Duration `json:"duration"`
	// Load multiplies the rates of the deployment.
	Load float64 `json:"load"`
	// Swing is the part by which the rates of each data centre go up and down in a
	// wave of the given period.
	Swing  float64           `json:"swing"`
	Period settings.Duration `json:"period"`
	Faults []Fault           `json:"faults"`
}

// Fault is one trouble of a scenario.
type Fault struct {
	// What names the trouble; see Faults.
	What string `json:"what"`
	// At is when it begins, For how long it lasts.
	At  settings.Duration `json:"at"`
	For settings.Duration `json:"for"`
	// Share is the part of workers or jobs that it meets.
	Share float64 `json:"share"`
	// Factor is how strong it is.
	Factor float64 `json:"factor"`
	// Kind and DataCentre narrow it down; empty if all are met.
	Kind       string `json:"kind"`
	DataCentre string `json:"dataCentre"`
	// Silent troubles break no connection: the other side learns nothing.
	Silent bool `json:"silent"`
}

// LoadScenario reads and checks a scenario.
func LoadScenario(name string) (*Scenario, error) {
	s := &Scenario{Name: strings.TrimSuffix(path.Base(name), ".json"), Load: 1}
	if err := read("scenarios", name, s); err != nil {
		return nil, err
	}
	if err := s.problems().Err(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	return s, nil
}

func (s *Scenario) problems() settings.Problems {
	var p settings.Problems
	between(&p, "/duration", s.Duration.Std().Seconds(), 1, maxSeconds)
	between(&p, "/load", s.Load, 0.01, 100)
	between(&p, "/swing", s.Swing, 0, 1)
	if s.Swing > 0 {
		between(&p, "/period", s.Period.Std().Seconds(), 0.1, maxSeconds)
	}
	for i := range s.Faults {
		s.Faults[i].check(&p, "/faults/"+strconv.Itoa(i), s.Duration.Std().Seconds())
	}
	return p
}

func (f *Fault) check(p *settings.Problems, at string, duration float64) {
	if faultsByName[f.What] == nil {
		p.Add(at+"/what", f.What, "one of "+strings.Join(FaultNames(), ", "))
	}
	between(p, at+"/at", f.At.Std().Seconds(), 0, duration)
	between(p, at+"/for", f.For.Std().Seconds(), 0, maxSeconds)
	between(p, at+"/share", f.Share, 0, 1)
	between(p, at+"/factor", f.Factor, 0, 1000)
}
