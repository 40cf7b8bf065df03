package group

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/core/claim"
)

var start = time.Unix(1000, 0)

func write(n int, expires time.Time) claim.Write {
	return claim.Write{Row: &claim.Row{Submission: "s" + strconv.Itoa(n), Nonce: uint64(n)}, Expires: expires}
}

func TestWritesAreGroupedUnderTheBudget(t *testing.T) {
	is := is.New(t)
	p := DefaultParams()
	p.Budget = 10
	g := New(p)
	g.SetLiveEntries(2) // 5 transactions a second
	sent, writes := 0, 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%10 == 0 {
			g.Add(write(ms, time.Time{}))
		}
		for {
			group, _ := g.Next(now)
			if group == nil {
				break
			}
			sent++
			writes += len(group.Writes)
			g.Done(now, group.ID, Applied, uint64(sent), nil)
		}
	}
	is.True(sent <= 52) // 10 s at 5 a second, and the first token
	is.True(writes >= 970)
}

func TestUnknownWriteIsRepeatedAndNeverExpires(t *testing.T) {
	is := is.New(t)
	g := New(DefaultParams())
	g.Add(write(1, start.Add(time.Second)))
	group, _ := g.Next(start)
	g.Done(start, group.ID, Lost, 0, nil)
	is.Equal(g.Results()[0].Status, claim.Unknown)
	later := start.Add(time.Hour)
	group, _ = g.Next(later)
	is.Equal(group.Writes[0].Row.Nonce, uint64(1))
	g.Done(later, group.ID, Conflicted, 0, []Conflict{{Index: 0, Current: group.Writes[0].Row, Version: 7}})
	r := g.Results()[0]
	is.Equal(r.Status, claim.Mismatch)
	is.Equal(r.Version, uint64(7))
}

func TestUnsentWriteExpires(t *testing.T) {
	is := is.New(t)
	g := New(DefaultParams())
	g.Add(write(1, start.Add(time.Second)))
	group, _ := g.Next(start)
	g.Done(start, group.ID, NotApplied, 0, nil)
	_, wake := g.Next(start)
	is.True(!wake.IsZero())
	group, _ = g.Next(start.Add(2 * time.Second))
	is.True(group == nil)
	is.Equal(g.Results()[0].Status, claim.NotSent)
}

func TestConflictRequeuesTheOtherWrites(t *testing.T) {
	is := is.New(t)
	g := New(DefaultParams())
	g.Add(write(1, time.Time{}))
	g.Add(write(2, time.Time{}))
	group, _ := g.Next(start)
	is.Equal(len(group.Writes), 2)
	g.Done(start, group.ID, Conflicted, 0, []Conflict{{Index: 0}})
	is.Equal(len(g.Results()), 1)
	group, _ = g.Next(start.Add(time.Second))
	is.Equal(len(group.Writes), 1)
	is.Equal(group.Writes[0].Row.Submission, "s2")
}

func TestOutageRejectsExpiringWritesAtOnce(t *testing.T) {
	is := is.New(t)
	p := DefaultParams()
	g := New(p)
	g.Add(write(1, start.Add(time.Minute)))
	group, _ := g.Next(start)
	g.ReportReachable(false)
	is.True(g.InOutage())
	g.Done(start, group.ID, NotApplied, 0, nil)
	g.Next(start)
	is.Equal(g.Results()[0].Status, claim.NotSent)
	g.Add(write(2, start.Add(time.Minute)))
	r := g.Results()
	is.Equal(r[0].Status, claim.NotSent)
	is.True(r[0].Outage)
	g.ReportReachable(true)
	g.Add(write(3, start.Add(time.Minute)))
	group, _ = g.Next(start.Add(time.Second))
	is.Equal(len(group.Writes), 1)
}
