// Package registry is a stand-in registry of servers: what it lists (Catalog, without I/O), and the service that tells
// it on sockets.
package registry

import "canvasrouter/policy"

// Entry is one server as the registry lists it.
type Entry struct {
	Server      int // the place in the plan's machines
	Zone        int
	MachineType int
	Cell        int
	Weight      float64
	StartedAt   policy.Micros // 0: long ago
	State       policy.ServerState
}

// Catalog is the list and its generations.
type Catalog struct {
	alwaysFull      bool // every change is told as the whole list
	current         []Entry
	served          []Entry
	changedAt       []uint64 // generation of each entry's last change, beside shown
	generation      uint64
	resetGeneration uint64 // who holds an older generation gets the whole list
	snapshot        []Entry
}

// NewCatalog makes a catalog with its first generation. With whole every change is told as the whole list.
func NewCatalog(entries []Entry, alwaysFull bool) *Catalog {
	c := &Catalog{alwaysFull: alwaysFull, current: append([]Entry(nil), entries...), generation: 1, resetGeneration: 1}
	c.setServed(c.current)
	return c
}

func (c *Catalog) setServed(entries []Entry) {
	c.served = append([]Entry(nil), entries...)
	c.changedAt = make([]uint64, len(c.served))
	for i := range c.changedAt {
		c.changedAt[i] = c.generation
	}
}

// Generation is the present one.
func (c *Catalog) Generation() uint64 { return c.generation }

// Set lists a server anew, or for the first time.
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
	if c.served, index = upsert(c.served); index == len(c.changedAt) {
		c.changedAt = append(c.changedAt, 0)
	}
	c.changedAt[index] = c.generation
}

// Entry is what is true of a server.
func (c *Catalog) Lookup(server int) (e Entry, known bool) {
	for _, e := range c.current {
		if e.Server == server {
			return e, true
		}
	}
	return Entry{Server: server}, false
}

// Freeze keeps the list of now aside; Thaw shows it as if it were new; Correct shows the truth again.
func (c *Catalog) SaveSnapshot() { c.snapshot = append([]Entry(nil), c.served...) }

func (c *Catalog) ServeSnapshot() {
	c.generation++
	c.resetGeneration = c.generation
	c.setServed(c.snapshot)
}

func (c *Catalog) ServeCurrent() {
	c.generation++
	c.resetGeneration = c.generation
	c.setServed(c.current)
}

// Since is what changed after a generation, or the whole list without what is gone.
func (c *Catalog) ChangesSince(generation uint64) (entries []Entry, full bool) {
	if full = c.alwaysFull || generation < c.resetGeneration || generation > c.generation; full {
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
