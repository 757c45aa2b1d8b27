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
	whole   bool // every change is told as the whole list
	truth   []Entry
	shown   []Entry
	changed []uint64 // generation of each entry's last change, beside shown
	now     uint64
	reset   uint64 // who holds an older generation gets the whole list
	kept    []Entry
}

// NewCatalog makes a catalog with its first generation. With whole every change is told as the whole list.
func NewCatalog(entries []Entry, whole bool) *Catalog {
	c := &Catalog{whole: whole, truth: append([]Entry(nil), entries...), now: 1, reset: 1}
	c.show(c.truth)
	return c
}

func (c *Catalog) show(entries []Entry) {
	c.shown = append([]Entry(nil), entries...)
	c.changed = make([]uint64, len(c.shown))
	for i := range c.changed {
		c.changed[i] = c.now
	}
}

// Generation is the present one.
func (c *Catalog) Generation() uint64 { return c.now }

// Set lists a server anew, or for the first time.
func (c *Catalog) SetEntry(e Entry) {
	c.now++
	set := func(list []Entry) ([]Entry, int) {
		for i := range list {
			if list[i].Server == e.Server {
				list[i] = e
				return list, i
			}
		}
		return append(list, e), len(list)
	}
	c.truth, _ = set(c.truth)
	var at int
	if c.shown, at = set(c.shown); at == len(c.changed) {
		c.changed = append(c.changed, 0)
	}
	c.changed[at] = c.now
}

// Entry is what is true of a server.
func (c *Catalog) Lookup(server int) (e Entry, known bool) {
	for _, e := range c.truth {
		if e.Server == server {
			return e, true
		}
	}
	return Entry{Server: server}, false
}

// Freeze keeps the list of now aside; Thaw shows it as if it were new; Correct shows the truth again.
func (c *Catalog) SaveSnapshot() { c.kept = append([]Entry(nil), c.shown...) }

func (c *Catalog) ServeSnapshot() {
	c.now++
	c.reset = c.now
	c.show(c.kept)
}

func (c *Catalog) ServeCurrent() {
	c.now++
	c.reset = c.now
	c.show(c.truth)
}

// Since is what changed after a generation, or the whole list without what is gone.
func (c *Catalog) ChangesSince(generation uint64) (entries []Entry, whole bool) {
	if whole = c.whole || generation < c.reset || generation > c.now; whole {
		for _, e := range c.shown {
			if e.State != policy.Gone {
				entries = append(entries, e)
			}
		}
		return entries, true
	}
	for i, e := range c.shown {
		if c.changed[i] > generation {
			entries = append(entries, e)
		}
	}
	return entries, false
}
