package emulator

import (
	"path"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/settings"
)

// Scenario is a load and the faults injected under it.
type Scenario struct {
	// Name is the name of its file without the extension.
	Name string `json:"-"`
	// About describes the purpose of the scenario.
	About string `json:"about"`
	// Duration is how long callers submit jobs.
	Duration settings.Duration `json:"duration"`
	// LoadFactor multiplies the rates of the deployment.
	LoadFactor float64 `json:"load"`
	// WaveAmplitude is the relative amplitude of a sine wave on the rate of each data centre,
	// WavePeriod its period.
	WaveAmplitude float64           `json:"swing"`
	WavePeriod    settings.Duration `json:"period"`
	Faults        []Fault           `json:"faults"`
}

// Fault is one fault of a scenario.
type Fault struct {
	// Name is one of FaultNames.
	Name string `json:"what"`
	// Start is when the fault begins, Duration how long it lasts.
	Start    settings.Duration `json:"at"`
	Duration settings.Duration `json:"for"`
	// Share is the share of instances, jobs or messages that it affects.
	Share float64 `json:"share"`
	// Factor is its strength; the meaning depends on the fault.
	Factor float64 `json:"factor"`
	// Kind and DataCentre limit the fault to a kind of jobs and a data centre; empty stands for
	// all.
	Kind       string `json:"kind"`
	DataCentre string `json:"dataCentre"`
	// Silent faults close no connection, so that the other side is not notified.
	Silent bool `json:"silent"`
}

// LoadScenario reads and validates a scenario: a packaged one, or the file at path name if name
// ends in .json.
func LoadScenario(name string) (*Scenario, error) {
	s := &Scenario{Name: strings.TrimSuffix(path.Base(name), ".json"), LoadFactor: 1}
	if err := readFile("scenarios", name, s); err != nil {
		return nil, err
	}
	if err := s.problems().Err(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	return s, nil
}

func (s *Scenario) problems() settings.Problems {
	var p settings.Problems
	checkRange(&p, "/duration", s.Duration.Std().Seconds(), 1, maxSeconds)
	checkRange(&p, "/load", s.LoadFactor, 0.01, 100)
	checkRange(&p, "/swing", s.WaveAmplitude, 0, 1)
	if s.WaveAmplitude > 0 {
		checkRange(&p, "/period", s.WavePeriod.Std().Seconds(), 0.1, maxSeconds)
	}
	for i := range s.Faults {
		s.Faults[i].check(&p, "/faults/"+strconv.Itoa(i), s.Duration.Std().Seconds())
	}
	return p
}

func (f *Fault) check(p *settings.Problems, pointer string, duration float64) {
	if faultsByName[f.Name] == nil {
		p.Add(pointer+"/what", f.Name, "one of "+strings.Join(FaultNames(), ", "))
	}
	checkRange(p, pointer+"/at", f.Start.Std().Seconds(), 0, duration)
	checkRange(p, pointer+"/for", f.Duration.Std().Seconds(), 0, maxSeconds)
	checkRange(p, pointer+"/share", f.Share, 0, 1)
	checkRange(p, pointer+"/factor", f.Factor, 0, 1000)
}
