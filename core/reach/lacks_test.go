package reach

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpick.example/common/room"
	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

var begin = time.Unix(1000, 0)

// requirement returns a requirement of a label and an amount of CPU.
func requirement(label string, cpu int) runs.Requirement {
	return runs.Requirement{Service: "s", Label: label, Need: room.Resources{CPU: cpu, Memory: 1}}
}

// clock updates lacks at the interval of an entry. Tasks need all of needed, and met tells what linked
// workers meet.
type clock struct {
	*Lacks
	now       time.Time
	needed    []runs.Requirement
	met       func(runs.Requirement) bool
	agents    int
	cutOff    bool
	announced int // number of announcements
}

func newClock(agents int, needed ...runs.Requirement) *clock {
	return &clock{Lacks: &Lacks{}, now: begin, needed: needed, met: func(runs.Requirement) bool { return false }, agents: agents}
}

func (c *clock) advance(d time.Duration) []runs.Lack {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, r := range c.needed {
			if !c.met(r) {
				c.Note(c.now, r)
			}
		}
		before, _ := c.Announcement()
		c.Update(c.now, Surroundings{IsMet: c.met, Agents: c.agents, InContact: !c.cutOff})
		if after, _ := c.Announcement(); after != before {
			c.announced++
		}
	}
	_, lacks := c.Announcement()
	return lacks
}

func TestLackIsAnnouncedAfterADelayAndWithdrawnOnceMet(t *testing.T) {
	is := is.New(t)
	r := requirement("a", 100)
	c := newClock(4, r)
	is.Equal(len(c.advance(askDelay)), 0)
	is.Equal(c.advance(100*time.Millisecond), []runs.Lack{{Requirement: r, Limit: math.MaxUint64}})
	c.met = func(runs.Requirement) bool { return true }
	is.Equal(len(c.advance(50*time.Millisecond)), 0)
	is.Equal(c.Len(), 0)
}

func TestLackIsForgottenWhenNoTaskNeedsIt(t *testing.T) {
	is := is.New(t)
	c := newClock(4, requirement("a", 100))
	c.advance(time.Second)
	c.needed = nil
	is.Equal(len(c.advance(retention-time.Second)), 1)
	is.Equal(len(c.advance(2*time.Second)), 0)
}

// TestEntryWithoutContactKeepsItsBound verifies that an entry that is cut off from the others does not
// ask all agents at once when the cut ends.
func TestEntryWithoutContactKeepsItsBound(t *testing.T) {
	is := is.New(t)
	c := newClock(1000, requirement("a", 100))
	c.cutOff = true
	is.Equal(len(c.advance(20*time.Second)), 0)
	c.cutOff = false
	is.Equal(c.advance(100 * time.Millisecond)[0].Limit, firstLimit(1000))
}

// TestSmallestRequirementIsAnnounced verifies that a requirement waits while a smaller one is not met:
// no worker meets it either. It is announced when the smaller one is met.
func TestSmallestRequirementIsAnnounced(t *testing.T) {
	is := is.New(t)
	small, large := requirement("a", 100), requirement("a", 900)
	c := newClock(4, large, small)
	is.Equal(c.advance(time.Second)[0].Requirement, small)
	is.Equal(c.Len(), 1)
	c.met = func(r runs.Requirement) bool { return r.Need.CPU <= 500 }
	is.Equal(c.advance(time.Second)[0].Requirement, large)
}

// TestUnmeetableLackIsRepeatedRarely verifies what a label that exists nowhere costs: a few
// announcements at first, then one every two minutes.
func TestUnmeetableLackIsRepeatedRarely(t *testing.T) {
	is := is.New(t)
	c := newClock(1000, requirement("nowhere", 100))
	c.advance(10 * time.Minute)
	is.True(c.announced <= 18)
	c.announced = 0
	c.advance(10 * time.Minute)
	is.Equal(c.announced, 5)
	is.True(c.IsUnanswered(c.now, requirement("nowhere", 100)))
	is.True(c.IsUnanswered(c.now, requirement("nowhere", 500)))
	is.True(!c.IsUnanswered(c.now, requirement("b", 100)))
}

// TestLackBehindManyUnmeetableOnesIsAnnounced guards against a lack that is never announced because
// more than can be announced at a time are met by nobody.
func TestLackBehindManyUnmeetableOnesIsAnnounced(t *testing.T) {
	is := is.New(t)
	const others = 100
	c := newClock(100)
	for n := range others {
		c.needed = append(c.needed, requirement(fmt.Sprint("nowhere", n), 100))
	}
	c.advance(2 * time.Minute)
	is.Equal(c.Len(), others)
	wanted := requirement("wanted", 100)
	c.needed = append(c.needed, wanted)
	c.announced = 0
	for range 10 {
		for _, l := range c.advance(time.Second) {
			if l.Requirement == wanted && l.Limit == math.MaxUint64 {
				return
			}
		}
		_, lacks := c.Announcement()
		is.True(len(lacks) <= runs.MaxLacks)
	}
	t.Error("the lack was not announced in ten seconds")
}

// TestLacksAreBounded verifies the memory and the announcements of more lacks than are remembered,
// all of which nobody meets.
func TestLacksAreBounded(t *testing.T) {
	is := is.New(t)
	c := newClock(804)
	for n := range maxLacks + 100 {
		c.needed = append(c.needed, requirement(fmt.Sprint("nowhere", n), 100))
	}
	c.advance(10 * time.Second)
	is.Equal(c.Len(), maxLacks)
	c.announced = 0
	c.advance(10 * time.Second)
	is.True(c.announced <= 11)
}

func TestLongLabelIsNotAnnounced(t *testing.T) {
	is := is.New(t)
	c := newClock(4, requirement(strings.Repeat("x", maxLabelBytes+1), 1))
	is.Equal(len(c.advance(time.Second)), 0)
}

// TestNewEntryHearsOfLacksSoon verifies that a lack is announced again for an entry that joins, which
// may have its record from one that does not know of lacks.
func TestNewEntryHearsOfLacksSoon(t *testing.T) {
	is := is.New(t)
	c := newClock(4, requirement("a", 100))
	c.advance(10 * time.Minute)
	c.announced = 0
	c.RepeatSoon(c.now)
	c.advance(1200 * time.Millisecond)
	is.Equal(c.announced, 1)
}

// answers returns how many agents answer a lack until it is met, and after which time, in a deployment
// in which capable of the agents meet it.
func answers(agents, capable, entry int) (int, time.Duration) {
	c := newClock(agents, requirement("a", 100))
	address := fmt.Sprint("e", entry)
	for c.now.Sub(begin) < 10*time.Second {
		answered := 0
		for _, l := range c.advance(50 * time.Millisecond) {
			for n := range capable {
				if subset.Score(fmt.Sprint("agent", n), address) <= l.Limit {
					answered++
				}
			}
		}
		if answered > 0 {
			return answered, c.now.Sub(begin)
		}
	}
	return 0, c.now.Sub(begin)
}

// TestFewAgentsAnswerALack verifies that a lack is answered soon and by few agents, whether one, a rack
// or all of the 804 agents could meet it.
func TestFewAgentsAnswerALack(t *testing.T) {
	for _, agents := range []int{11, 804, 2700} {
		for _, capable := range []int{1, 3, 20, agents} {
			total, most, slowest := 0, 0, time.Duration(0)
			const entries = 200
			for entry := range entries {
				n, took := answers(agents, min(capable, agents), entry)
				total, most, slowest = total+n, max(most, n), max(slowest, took)
			}
			t.Logf("%d agents, %d can: %.1f answer at the mean, %d at most, after at most %v", agents, capable, float64(total)/entries, most, slowest)
			if slowest > 2500*time.Millisecond || most > 32 || total == 0 {
				t.Errorf("%d agents of which %d can: %d answer after %v", agents, capable, most, slowest)
			}
		}
	}
}

// TestAskedAgentLinksAndIsReleased follows an agent through an ask: it links, stays while it is needed,
// and is released after that.
func TestAskedAgentLinksAndIsReleased(t *testing.T) {
	is := is.New(t)
	a := NewAsks("agent")
	e := runs.Entry{Address: "e", Incarnation: 7}
	isAsked := func(now time.Time) bool { list, _ := a.Entries(now); return len(list) > 0 }
	is.Equal(a.Receive(begin, []runs.Ask{{Entry: e, Serial: 3, Limit: math.MaxUint64}}), []runs.Entry{e})
	is.Equal(len(a.Receive(begin, []runs.Ask{{Entry: e, Serial: 3, Limit: math.MaxUint64}})), 0) // from another entry
	is.True(isAsked(begin.Add(time.Minute)))                                                     // not linked yet
	linkedAt := begin.Add(time.Minute)
	a.SetLinked(linkedAt, "e", true)
	is.True(isAsked(linkedAt.Add(needGrace - time.Millisecond)))
	a.Needed(linkedAt.Add(2*time.Second), "e")
	is.True(isAsked(linkedAt.Add(4 * time.Second)))
	is.True(!isAsked(linkedAt.Add(2*time.Second + needGrace)))
	is.Equal(len(a.Receive(linkedAt.Add(time.Minute), []runs.Ask{{Entry: e, Serial: 2, Limit: math.MaxUint64}})), 0) // an older record
	is.Equal(len(a.Receive(linkedAt.Add(time.Minute), []runs.Ask{{Entry: e, Serial: 4, Limit: math.MaxUint64}})), 1)
}

func TestAskForOtherAgentsOpensNoLink(t *testing.T) {
	is := is.New(t)
	a := NewAsks("agent")
	e := runs.Entry{Address: "e", Incarnation: 7}
	limit := subset.Score("agent", "e") - 1
	is.Equal(len(a.Receive(begin, []runs.Ask{{Entry: e, Serial: 1, Limit: limit}})), 0)
	is.Equal(len(a.Receive(begin, []runs.Ask{{Entry: e, Serial: 2, Limit: limit + 1}})), 1)
	a.Receive(begin, []runs.Ask{{Entry: e, Serial: 3}}) // withdrawn
	list, _ := a.Entries(begin.Add(needGrace))
	is.Equal(len(list), 0)
	is.Equal(a.asks.Len(), 0)
}

// TestAsksAreBoundedByEntries feeds random asks, and verifies that an agent remembers at most one for
// each entry, and none for long.
func TestAsksAreBoundedByEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAsks("agent")
		now := begin
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			address := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "entry"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				a.Receive(now, []runs.Ask{{Entry: runs.Entry{Address: address, Incarnation: 1}, Serial: rapid.Uint64().Draw(t, "serial"), Limit: rapid.Uint64().Draw(t, "limit")}})
			case 1:
				a.SetLinked(now, address, true)
			case 2:
				a.SetLinked(now, address, false)
			case 3:
				a.Needed(now, address)
			}
		}
		for n := range 4 {
			a.SetLinked(now, fmt.Sprint("e", n), false)
		}
		if list, _ := a.Entries(now.Add(askRetention)); len(list)+a.asks.Len() > 0 {
			t.Fatal("asks are remembered too long")
		}
	})
}

// TestBoardAsksWorkersThatMeetALack verifies which agents are asked, and with which bound.
func TestBoardAsksWorkersThatMeetALack(t *testing.T) {
	is := is.New(t)
	var b Board
	e := runs.Entry{Address: "e", Incarnation: 7}
	m := runs.Member{Entry: e, Serial: 5, Lacks: []runs.Lack{{Requirement: requirement("a", 100), Limit: 10}, {Requirement: requirement("", 900), Limit: 20}}}
	b.Set(m)
	w := runs.Worker{ID: "w", Service: "s", Labels: []string{"a"}, Capacity: room.Resources{CPU: 500, Memory: 10}}
	is.Equal(b.AskOf("e", &w), runs.Ask{Entry: e, Serial: 5, Limit: 10})
	w.Capacity.CPU = 1000
	is.Equal(b.AskOf("e", &w).Limit, uint64(20))
	w.Draining = true
	is.Equal(b.AskOf("e", &w).Limit, uint64(0))
	m.Gone = true
	b.Set(m)
	is.Equal(b.Len(), 0)
	is.Equal(b.AskOf("e", &w), runs.Ask{Entry: runs.Entry{Address: "e"}})
}
