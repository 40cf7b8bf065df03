package ledger

import (
	"hash/fnv"
	"sort"
	"time"

	"peridotpick.example/wire/runs"
)

// Load takes all rows, read by a call that was sent at a time.
func (c *Core) Load(now time.Time, rows []Stored, sentAt time.Time) {
	c.loaded = true
	c.Learn(now, rows, sentAt)
}

// Learn takes changed rows, read by a call that was sent at a time. What it shows
// confirms the ownership of all other jobs.
func (c *Core) Learn(now time.Time, rows []Stored, sentAt time.Time) {
	c.now = now
	for i := range rows {
		c.learn(&rows[i])
	}
	if sentAt.After(c.confirmedAt) {
		c.confirmedAt = sentAt
	}
	for _, name := range names(c.active) {
		c.handOver(c.active[name])
	}
}

func (c *Core) learn(s *Stored) {
	j := c.jobs[s.Job]
	if s.Row == nil {
		if j != nil && s.Version > j.version && j.writing == nil {
			c.drop(j)
		}
		return
	}
	if j == nil {
		delete(c.doubts, s.Job)
		j = &job{name: s.Job, row: s.Row, version: s.Version}
		c.put(j)
		// A row of this entry that is not known here comes from a write whose sender
		// no longer waits.
		j.wanted = c.mine(j)
		return
	}
	if s.Version <= j.version {
		return
	}
	if j.writing != nil && c.made(*j.writing, s.Row) {
		c.applied(j, *j.writing, s.Version)
		return
	}
	if j.version == 0 {
		return // the write under way will meet it
	}
	j.row = s.Row
	j.version = s.Version
	c.follow(j)
}

// Peers tells which entries were heard of lately.
func (c *Core) Peers(now time.Time, alive []runs.Entry) {
	c.now = now
	for _, e := range alive {
		if e.Address != c.settings.Self.Address {
			c.peers[e.Address] = peer{incarnation: e.Incarnation, heardAt: now}
		}
	}
}

const (
	// walkEvery is the time between two walks over the open jobs.
	walkEvery = 200 * time.Millisecond
	// rankDelay is how long an entry waits for the next better placed one to take a
	// job over.
	rankDelay = 1500 * time.Millisecond
	// sweepEvery is the time between two searches for rows to remove, removalsAtOnce
	// the number that one removes.
	sweepEvery = 5 * time.Second
	// doubtLasts is far above the time after which agents ask again.
	doubtLasts     = 30 * time.Second
	removalsAtOnce = 200
)

// Tick handles the passing of time.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if !c.loaded || now.Sub(c.walkedAt) < walkEvery {
		return
	}
	c.walkedAt = now
	if c.confirmed() {
		for _, name := range names(c.active) {
			c.takeOver(c.active[name])
			c.next(c.active[name])
		}
	}
	if now.Sub(c.sweptAt) >= sweepEvery {
		c.sweptAt = now
		c.removeOld()
		c.forgetDoubts()
	}
}

// takeOver makes a job this entry's if its owner is gone.
func (c *Core) takeOver(j *job) {
	if c.mine(j) || j.writing != nil || j.version == 0 {
		return
	}
	goneSince, certain := c.goneSince(j.row.Owner)
	if goneSince.IsZero() || c.now.Sub(goneSince) < time.Duration(c.rank(j.name))*rankDelay {
		return
	}
	j.safeIn = c.settings.RunsOver
	reason := "its process is gone"
	if !certain {
		j.safeIn += c.settings.OwnFor
		reason = "its entry is silent"
	}
	c.note(j, "take over", reason)
	row := *j.row
	row.Owner = c.settings.Self
	row.Epoch++
	c.write(j, row, 0, false)
}

// goneSince tells since when an entry is taken to be gone; zero if it is not. It is
// certain that its process has ended if another one runs at its address.
func (c *Core) goneSince(owner runs.Entry) (since time.Time, certain bool) {
	if owner.Address == c.settings.Self.Address {
		return c.startedAt, true
	}
	p, known := c.peers[owner.Address]
	if known && p.incarnation != owner.Incarnation {
		return p.heardAt, true
	}
	last := c.startedAt
	if known {
		last = p.heardAt
	}
	if c.now.Sub(last) < c.settings.SilentAfter {
		return time.Time{}, false
	}
	return last.Add(c.settings.SilentAfter), false
}

// rank returns this entry's place in the order in which entries take a job over.
func (c *Core) rank(name string) int {
	alive := []string{c.settings.Self.Address}
	for address, p := range c.peers {
		if c.now.Sub(p.heardAt) < c.settings.SilentAfter {
			alive = append(alive, address)
		}
	}
	sort.Slice(alive, func(i, k int) bool { return score(name, alive[i]) < score(name, alive[k]) })
	for i, address := range alive {
		if address == c.settings.Self.Address {
			return i
		}
	}
	return 0
}

// score orders entries differently for each job.
func score(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + address)) // never fails
	return h.Sum64()
}

// forgetDoubts forgets questions that were not repeated.
func (c *Core) forgetDoubts() {
	for name, asked := range c.doubts {
		if c.now.Sub(asked) > doubtLasts {
			delete(c.doubts, name)
		}
	}
}

// removeOld removes rows of jobs that ended long ago. The entry that is first in
// the job's order does it.
func (c *Core) removeOld() {
	removed := 0
	for _, name := range names(c.jobs) {
		j := c.jobs[name]
		if j.endedAt.IsZero() || c.now.Sub(j.endedAt) < c.settings.KeepEnded || j.writing != nil {
			continue
		}
		if removed == removalsAtOnce || c.rank(name) != 0 {
			continue
		}
		removed++
		c.lastWrite++
		w := Write{Job: name, Expect: j.version, id: c.lastWrite}
		j.writing = &w
		c.out.Writes = append(c.out.Writes, w)
	}
}
