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

// Intervals and timeouts of announcements.
const (
	// announceInterval is the pause between rounds of announcements while a link is missing.
	announceInterval = 500 * time.Millisecond
	// linkedInterval is the pause while all wanted links are open.
	linkedInterval = 2 * time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// tableFallbackDelay is the time without an answer from any entry after which the live entries
	// are read from the table service.
	tableFallbackDelay = 3 * time.Second
)

// announcer maintains links to a subset of the live entries. It announces the agent to the wanted
// entries that have no link, and they open the links. Rendezvous hashing chooses the subset, so that
// each entry gets an even share of the agents and few links move when an entry comes or goes.
type announcer struct {
	agent *Agent

	mu sync.Mutex
	// listsByEntry is the newest list of live entries from each linked entry, by link key. The union
	// of the lists is used, since any one of them may be outdated.
	listsByEntry map[string][]wire.EntryInfo
	// fallbackList is the newest list from answers to announcements or from the table service. It is
	// used while no linked entry has sent a list.
	fallbackList []wire.EntryInfo
	linkCounts   map[string]int
	lastUpdate   time.Time
	stopped      bool
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, listsByEntry: make(map[string][]wire.EntryInfo), linkCounts: make(map[string]int), lastUpdate: time.Now()}
}

// linkKey returns the key of an entry in the maps: its address, which one entry has at a time.
func linkKey(e wire.EntryInfo) string { return e.Address }

// addLink registers a link of an entry and the list of live entries that came with it.
func (n *announcer) addLink(entry wire.EntryInfo, entries []wire.EntryInfo) {
	n.mu.Lock()
	n.linkCounts[linkKey(entry)]++
	n.mu.Unlock()
	n.updateFromLink(entry, entries)
}

// removeLink unregisters a link of an entry. With the last link its list is dropped too.
func (n *announcer) removeLink(entry wire.EntryInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkCounts[linkKey(entry)]--
	if n.linkCounts[linkKey(entry)] <= 0 {
		delete(n.linkCounts, linkKey(entry))
		delete(n.listsByEntry, linkKey(entry))
	}
}

// updateFromLink replaces the list of a linked entry; it ignores empty lists and unlinked entries.
func (n *announcer) updateFromLink(from wire.EntryInfo, entries []wire.EntryInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(entries) > 0 && n.linkCounts[linkKey(from)] > 0 {
		n.lastUpdate = time.Now()
		n.listsByEntry[linkKey(from)] = entries
	}
}

// updateFallback replaces the fallback list; it ignores empty lists.
func (n *announcer) updateFallback(entries []wire.EntryInfo) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(entries) > 0 {
		n.lastUpdate = time.Now()
		n.fallbackList = entries
	}
}

// knownAddresses returns the addresses of all entries known to be alive, sorted and distinct. The
// caller holds mu.
func (n *announcer) knownAddresses() []string {
	lists := [][]wire.EntryInfo{n.fallbackList}
	if len(n.listsByEntry) > 0 {
		lists = lists[:0]
		for _, list := range n.listsByEntry {
			lists = append(lists, list)
		}
	}
	var all []string
	for _, list := range lists {
		for _, e := range list {
			all = append(all, linkKey(e))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// stop ends announcing. Open links stay.
func (n *announcer) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}

// missingLinks returns the addresses of wanted entries that have no link. askTable reports whether
// the table service should be read, since there is no link and no entry has answered for
// tableFallbackDelay.
func (n *announcer) missingLinks() (addresses []string, askTable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil, false
	}
	for _, address := range n.wantedAddresses() {
		if n.linkCounts[address] == 0 {
			addresses = append(addresses, address)
		}
	}
	needsTable := len(n.linkCounts) == 0 && time.Since(n.lastUpdate) > tableFallbackDelay
	return addresses, needsTable
}

// wantedAddresses returns the addresses of the entries to link to: a subset of the known ones, or
// those of the settings while none is known. The caller holds mu.
func (n *announcer) wantedAddresses() []string {
	all := n.knownAddresses()
	if len(all) == 0 {
		return n.agent.settings.Entries
	}
	return subset(n.agent.info.ID, all, n.agent.settings.Fanout)
}

// subset returns the n entries that rank highest for the agent by rendezvous hashing.
func subset(agent string, entries []string, n int) []string {
	if len(entries) <= n {
		return entries
	}
	remaining := slices.Clone(entries)
	chosen := make([]string, 0, n)
	for range n {
		// Each round builds a new table, since the library's Remove corrupts the table's index.
		top := rendezvous.New(remaining, xxh3.HashString).Lookup(agent)
		chosen = append(chosen, top)
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == top })
	}
	return chosen
}

// knowsEntries reports whether any list of live entries has arrived.
func (n *announcer) knowsEntries() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.knownAddresses()) > 0
}

// run announces the agent to entries until ctx ends.
func (n *announcer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		knewEntries := n.knowsEntries()
		addresses, askTable := n.missingLinks()
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
			n.readTable(ctx)
		}
		pause := linkedInterval
		if len(addresses) > 0 {
			pause = announceInterval
		}
		if !knewEntries && n.knowsEntries() {
			pause = 0
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// announce announces the agent to one entry and takes the list of live entries from its answer.
func (n *announcer) announce(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := n.agent.deps.Transport.Dial(ctx, address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// The subset is chosen among all live entries, so the first announcement only asks for them.
	reply, err := wire.Announce(ctx, conn, &wire.AnnounceRequest{Agent: n.agent.info, OnlyEntries: !n.knowsEntries()})
	if err != nil {
		return
	}
	n.updateFallback(reply.Entries)
}

// readTable reads the live entries from the table service. Rows that cannot be decoded are skipped.
func (n *announcer) readTable(ctx context.Context) {
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
	n.updateFallback(entries)
}
