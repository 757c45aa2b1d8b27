// Package registry is a stand-in registry of servers. Catalog holds the list and does no I/O; Service offers the list on
// sockets.
package registry

import "canvasrouter/policy"

// Entry describes one server in the list.
type Entry struct {
	Server      int // index in the plan's machines
	Zone        int
	MachineType int
	Cell        int
	Weight      float64
	StartedAt   policy.Micros // 0: before the run
	State       policy.ServerState
}

// Catalog holds the list of servers and counts its generations.
type Catalog struct {
	alwaysFull      bool     // every change is answered with the full list
	current         []Entry  // the true state
	served          []Entry  // what clients get; differs from current after ServeSnapshot
	changedAt       []uint64 // generation of the last change of each entry in served
	generation      uint64
	resetGeneration uint64 // a client with an older generation gets the full list
	snapshot        []Entry
}

// NewCatalog returns a catalog at generation 1. With alwaysFull every change is answered with the full list.
func NewCatalog(entries []Entry, alwaysFull bool) *Catalog {
	c := &Catalog{alwaysFull: alwaysFull, current: append([]Entry(nil), entries...), generation: 1, resetGeneration: 1}
	c.setServed(c.current)
	return c
}

// setServed replaces the list that clients get; every entry counts as changed now.
func (c *Catalog) setServed(entries []Entry) {
	c.served = append([]Entry(nil), entries...)
	c.changedAt = make([]uint64, len(c.served))
	for i := range c.changedAt {
		c.changedAt[i] = c.generation
	}
}

// Generation returns the number of the current generation.
func (c *Catalog) Generation() uint64 { return c.generation }

// SetEntry adds a server or replaces its entry.
func (c *Catalog) SetEntry(e Entry) {
	c.generation++
	upsert := func(entries []Entry) ([]Entry, int) {
		for i := range entries {
			if entries[i].Server == e.Server {
				entries[i] = e
				return entries, i
			}
		}
		return append(entries, e), len(entries)
	}
	c.current, _ = upsert(c.current)
	var index int
	c.served, index = upsert(c.served)
	if index == len(c.changedAt) {
		c.changedAt = append(c.changedAt, 0)
	}
	c.changedAt[index] = c.generation
}

// Lookup returns the true state of a server, whatever list is served.
func (c *Catalog) Lookup(server int) (e Entry, known bool) {
	for _, e := range c.current {
		if e.Server == server {
			return e, true
		}
	}
	return Entry{Server: server}, false
}

// SaveSnapshot keeps a copy of the list that is served now.
func (c *Catalog) SaveSnapshot() { c.snapshot = append([]Entry(nil), c.served...) }

// ServeSnapshot serves the saved, outdated list under a new generation.
func (c *Catalog) ServeSnapshot() {
	c.generation++
	c.resetGeneration = c.generation
	c.setServed(c.snapshot)
}

// ServeCurrent serves the true list again, under a new generation.
func (c *Catalog) ServeCurrent() {
	c.generation++
	c.resetGeneration = c.generation
	c.setServed(c.current)
}

// ChangesSince returns the entries that changed after a generation, or the full list without the servers that are gone.
func (c *Catalog) ChangesSince(generation uint64) (entries []Entry, full bool) {
	full = c.alwaysFull || generation < c.resetGeneration || generation > c.generation
	if full {
		for _, e := range c.served {
			if e.State != policy.Gone {
				entries = append(entries, e)
			}
		}
		return entries, true
	}
	for i, e := range c.served {
		if c.changedAt[i] > generation {
			entries = append(entries, e)
		}
	}
	return entries, false
}
