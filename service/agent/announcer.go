package agent

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/xxh3"

	"peridotpick.example/service/members"
	"peridotpick.example/wire"
)

// Times of announcing.
const (
	// announceEvery is the pause between rounds while a link is missing.
	announceEvery = 500 * time.Millisecond
	// settledEvery is the pause while all links stand.
	settledEvery = 2 * time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// askTableAfter is how long no entry has to answer before the table
	// service is asked for the live entries.
	askTableAfter = 3 * time.Second
)

// announcer keeps links to a subset of the live entries, chosen by rendezvous
// hashing, so that each entry gets an even share of the agents and few links
// move when an entry comes or goes.
type announcer struct {
	agent *Agent

	mu sync.Mutex
	// told is the newest list of live entries of each linked entry. All lists
	// together count, since any one may be older than a change.
	told map[string][]wire.EntryInfo
	// hearsay is the newest list from elsewhere; it counts while there is no link.
	hearsay []wire.EntryInfo
	links   map[string]int
	heard   time.Time
	halted  bool
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, told: make(map[string][]wire.EntryInfo), links: make(map[string]int), heard: time.Now()}
}

// key identifies an entry by address, since an address holds one entry at a time.
func key(e wire.EntryInfo) string { return e.Address }

func (n *announcer) linked(entry wire.EntryInfo, entries []wire.EntryInfo) {
	n.mu.Lock()
	n.links[key(entry)]++
	n.mu.Unlock()
	n.learn(entry, entries)
}

func (n *announcer) unlinked(entry wire.EntryInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[key(entry)]--
	if n.links[key(entry)] <= 0 {
		delete(n.links, key(entry))
		delete(n.told, key(entry))
	}
}

// learn takes the list of a linked entry.
func (n *announcer) learn(from wire.EntryInfo, entries []wire.EntryInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(entries) > 0 && n.links[key(from)] > 0 {
		n.heard = time.Now()
		n.told[key(from)] = entries
	}
}

// hear takes a list from elsewhere.
func (n *announcer) hear(entries []wire.EntryInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(entries) > 0 {
		n.heard = time.Now()
		n.hearsay = entries
	}
}

// known returns the addresses of all entries known to be alive, sorted.
func (n *announcer) known() []string {
	lists := [][]wire.EntryInfo{n.hearsay}
	if len(n.told) > 0 {
		lists = lists[:0]
		for _, list := range n.told {
			lists = append(lists, list)
		}
	}
	var all []string
	for _, list := range lists {
		for _, e := range list {
			all = append(all, key(e))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (n *announcer) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.halted = true
}

// missing returns the chosen entries that have no link, and whether all that
// is known has been silent for so long that the table should be asked.
func (n *announcer) missing() (addresses []string, askTable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.halted {
		return nil, false
	}
	for _, address := range n.chosen() {
		if n.links[address] == 0 {
			addresses = append(addresses, address)
		}
	}
	lonely := len(n.links) == 0 && time.Since(n.heard) > askTableAfter
	return addresses, lonely
}

// chosen returns the addresses of the entries to be linked to.
func (n *announcer) chosen() []string {
	all := n.known()
	if len(all) == 0 {
		return n.agent.settings.Entries
	}
	return Subset(n.agent.info.ID, all, n.agent.settings.Fanout)
}

// Subset returns the n entries that rank highest for the agent by rendezvous hashing.
func Subset(agent string, entries []string, n int) []string {
	if len(entries) <= n {
		return entries
	}
	rest := slices.Clone(entries)
	picked := make([]string, 0, n)
	for range n {
		// A new ring each time: the library's Remove breaks its own index.
		top := rendezvous.New(rest, xxh3.HashString).Lookup(agent)
		picked = append(picked, top)
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == top })
	}
	return picked
}

// informed reports whether the live entries are known.
func (n *announcer) informed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.known()) > 0
}

func (n *announcer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		knew := n.informed()
		addresses, askTable := n.missing()
		var round sync.WaitGroup
		for _, address := range addresses {
			round.Add(1)
			go func() {
				defer round.Done()
				n.announce(ctx, address)
			}()
		}
		round.Wait()
		if askTable {
			n.askTable(ctx)
		}
		pause := settledEvery
		if len(addresses) > 0 {
			pause = announceEvery
		}
		if !knew && n.informed() {
			pause = 0
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

func (n *announcer) announce(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := n.agent.deps.Transport.Dial(ctx, address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// Which entries to link to is chosen among all; the first question is who they are.
	reply, err := wire.Announce(ctx, conn, &wire.AnnounceRequest{Agent: n.agent.info, OnlyEntries: !n.informed()})
	if err != nil {
		return
	}
	n.hear(reply.Entries)
}

// askTable learns the live entries from the platform when none is reachable.
func (n *announcer) askTable(ctx context.Context) {
	if n.agent.deps.Table == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	rows, err := n.agent.deps.Table.List(ctx, members.Prefix(n.agent.settings.Region), "", members.MaxEntries)
	if err != nil {
		return
	}
	var entries []wire.EntryInfo
	for _, row := range rows {
		var member members.Row
		if json.Unmarshal(row.Value, &member) == nil {
			entries = append(entries, member.Entry)
		}
	}
	n.hear(entries)
}
