package rank

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/label"
)

var start = time.Unix(1000, 0)

var scan = Kind{Service: "tally", Name: "scan"}

func newPool(agents int) *Pool {
	p := NewPool(DefaultParams(), rand.New(rand.NewPCG(1, 1)))
	for i := range agents {
		p.Add(&Agent{ID: ID{fmt.Sprintf("agent-%03d", i), 1}, Service: "tally", Slots: 8,
			Labels: label.Set{"rack": fmt.Sprint(i / 3), "cores": "16"}})
	}
	p.SetHomes("entry", []string{"entry"})
	return p
}

func requirement(t testing.TB, selector string) Requirement {
	s, err := label.Parse("selector", selector)
	if err != nil {
		t.Fatal(err)
	}
	return Requirement{Service: "tally", Selector: s}
}

func TestPicksTheLeastLoaded(t *testing.T) {
	is := is.New(t)
	p := newPool(3)
	p.RecordLoad(start, p.Agents()[0], 5, 0)
	p.RecordLoad(start, p.Agents()[2], 7, 0)
	is.Equal(p.Pick(start, &PickRequest{Requirement: requirement(t, ""), Kind: scan}).Agent, p.Agents()[1])
	is.Equal(p.Pick(start, &PickRequest{Requirement: requirement(t, "rack=0"), Kind: Kind{}, AvoidAgents: []ID{p.Agents()[1].ID}}).Agent, p.Agents()[0])
}

func TestFullAgentsAreNotPicked(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	for range 8 {
		p.Agents()[0].RecordSent()
	}
	is.True(p.Pick(start, &PickRequest{Requirement: requirement(t, ""), Kind: scan}).Agent == nil)
	p.Agents()[0].RecordAnswered()
	is.True(p.Pick(start, &PickRequest{Requirement: requirement(t, ""), Kind: scan}).Agent != nil)
}

func TestAgentsInADrainedDataCentreAreNotPicked(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	p.Agents()[0].DataCentre, p.Agents()[1].DataCentre = "a", "b"
	req := &PickRequest{Requirement: requirement(t, ""), Kind: scan}
	params := DefaultParams()
	params.DrainedDataCentres = []string{"a"}
	p.Configure(params)
	for range 20 {
		is.Equal(p.Pick(start, req).Agent, p.Agents()[1])
	}
	params.DrainedDataCentres = []string{"a", "b"}
	p.Configure(params)
	is.True(p.Pick(start, req).Agent == nil)
	is.Equal(len(p.Feasible(req.Requirement)), 2) // the task has to wait; it is not infeasible
}

func TestAwayAgentNeedsMarginAndIsAskedNotToQueue(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	p.SetHomes("entry", []string{"entry", "other"})
	home, away := p.Agents()[0], p.Agents()[1]
	for range 8 {
		home.RecordSent()
	}
	p.RecordLoad(start, away, 6, 0)
	is.True(p.Pick(start, &PickRequest{Requirement: requirement(t, ""), Kind: scan}).Agent == nil) // 6 + 1 + margin 2 exceeds 8
	choice := p.Pick(start, &PickRequest{Requirement: requirement(t, ""), Kind: scan, Waited: p.MeanRunTime()})
	is.Equal(choice.Agent, away)
	is.True(!choice.NoWait) // a task that has waited long is to be queued
	p.RecordLoad(start, away, 1, 0)
	is.True(p.Pick(start, &PickRequest{Requirement: requirement(t, ""), Kind: scan}).NoWait)
}

func TestFailingAgentIsEjectedAndRestoredByProbe(t *testing.T) {
	is := is.New(t)
	p := newPool(11)
	bad := p.Agents()[4]
	for range ejectFailures - 1 {
		is.True(!p.RecordFailure(start, bad, scan))
	}
	is.True(p.RecordFailure(start, bad, scan))
	is.True(bad.IsEjected())
	is.True(!p.isUsable(start, bad, &PickRequest{}, byFinish))
	later := start.Add(minProbePause)
	is.True(p.isUsable(later, bad, &PickRequest{}, byFinish))
	bad.RecordProbe()
	is.True(!p.isUsable(later, bad, &PickRequest{}, byFinish)) // a probe is in flight
	p.RecordSuccess(later, bad, scan, 100*time.Millisecond)
	is.True(!bad.IsEjected())
}

func TestEjectionIsCapped(t *testing.T) {
	is := is.New(t)
	p := newPool(11)
	ejected := 0
	for _, a := range p.Agents() {
		for range ejectFailures {
			p.RecordFailure(start, a, Kind{Name: a.ID.Agent})
		}
		if a.IsEjected() {
			ejected++
		}
	}
	is.Equal(ejected, 3)
}

func TestSlowAgentIsEjected(t *testing.T) {
	is := is.New(t)
	p := newPool(11)
	for i := range 100 {
		p.RecordSuccess(start, p.Agents()[i%10], scan, 100*time.Millisecond)
	}
	for range ejectSlownessSamples {
		p.RecordSuccess(start, p.Agents()[10], scan, time.Second)
	}
	is.True(p.Agents()[10].IsEjected())
}

func TestOverdueTasksExcludeAnAgent(t *testing.T) {
	is := is.New(t)
	p := newPool(1)
	p.Agents()[0].AddOverdue(1)
	is.True(p.isUsable(start, p.Agents()[0], &PickRequest{}, byFinish))
	p.Agents()[0].AddOverdue(1)
	is.True(!p.isUsable(start, p.Agents()[0], &PickRequest{}, byFinish))
}

func TestHomesAreAssignedEvenly(t *testing.T) {
	is := is.New(t)
	entries := []string{"a", "b", "c"}
	total := 0
	for _, self := range entries {
		p := newPool(11)
		p.SetHomes(self, entries)
		n := 0
		for _, a := range p.Agents() {
			if a.IsHome {
				n++
			}
		}
		is.True(n == 3 || n == 4)
		total += n
	}
	is.Equal(total, 11)
}

func TestPickDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	p := newPool(540)
	r := requirement(t, "rack in (1,2,3,4,5,6,7,8,9),cores>8")
	req := &PickRequest{Requirement: r, Kind: scan}
	p.Pick(start, req)
	is.Equal(testing.AllocsPerRun(100, func() { p.Pick(start, req) }), 0.0)
}

// BenchmarkPick measures one pick by the number of agents.
func BenchmarkPick(b *testing.B) {
	for _, agents := range []int{11, 54, 166, 540} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			p := newPool(agents)
			r := requirement(b, "cores>8,rack notin (7)")
			req := &PickRequest{Requirement: r, Kind: scan}
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(start, req)
			}
		})
	}
}

// BenchmarkPickAmong measures one pick among the candidates of a submission of 140 tasks.
func BenchmarkPickAmong(b *testing.B) {
	p := newPool(540)
	r := requirement(b, "cores>8,rack notin (7)")
	among := p.ClaimCandidates(r, 140, 3)
	req := &PickRequest{Requirement: r, Kind: scan}
	b.ReportAllocs()
	for b.Loop() {
		p.PickAmong(start, among, req)
	}
}
