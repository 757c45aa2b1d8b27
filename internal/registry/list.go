package registry

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"slices"
	"sync"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// document is the registry's form of a list.
type document struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      uint16  `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

var lifecycles = map[string]policy.ServerState{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// names gives words their numbers: a server keeps its number while it is on the list, and since that is a hash of its
// id, it has the same one when it comes back. Zones and kinds keep theirs for the life of the process.
type names struct {
	servers      map[string]policy.ServerID
	taken        map[policy.ServerID]bool
	zones, kinds []string
	lock         sync.Mutex // of zones: new settings look one up
}

func newNames(zones, kinds []string) *names {
	return &names{servers: make(map[string]policy.ServerID), taken: make(map[policy.ServerID]bool),
		zones: slices.Clone(zones), kinds: slices.Clone(kinds)}
}

// server hashes a text id. The module puts servers in order of their ids and spreads nodes evenly over that
// order, so it must be the same at every node; numbers given in order of arrival would not be.
func (n *names) server(id string) policy.ServerID {
	if known, found := n.servers[id]; found {
		return known
	}
	hash := fnv.New64a()
	hash.Write([]byte(id))
	number := policy.ServerID(hash.Sum64() >> 16) // 48 bits, as the simulator's addresses
	for n.taken[number] {
		number++
	}
	n.taken[number], n.servers[id] = true, number
	return number
}

// forget gives a number back. Danger: ids are ever new on long days, and a number kept for each would fill the memory.
func (n *names) forget(id string) {
	delete(n.taken, n.servers[id])
	delete(n.servers, id)
}

// index numbers a word; those past the last number share it.
func index(list *[]string, word string) uint8 {
	at := slices.Index(*list, word)
	if at < 0 && len(*list) <= math.MaxUint8 {
		at = len(*list)
		*list = append(*list, word)
	}
	if at < 0 {
		return math.MaxUint8
	}
	return uint8(at)
}

func (n *names) zone(word string) uint8 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return index(&n.zones, word)
}

// parse reads one line of the list.
func (n *names) parse(raw []byte) (*node.List, uint64, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, 0, err
	}
	list := &node.List{Form: policy.ListChanges}
	if d.Reset {
		list.Form = policy.ListFull
	}
	listed := make(map[string]bool, len(d.Instances))
	for _, i := range d.Instances {
		state, known := lifecycles[i.Lifecycle]
		if !known {
			return nil, 0, fmt.Errorf("instance %q: unknown lifecycle %q", i.ID, i.Lifecycle)
		}
		if _, _, err := net.SplitHostPort(i.Addr); state != policy.Gone && (err != nil || i.ID == "") {
			return nil, 0, fmt.Errorf("instance %q: hostPort %q", i.ID, i.Addr)
		}
		if !(i.Weight > 0) {
			i.Weight = 1
		}
		list.Entries = append(list.Entries, policy.ListEntry{Server: n.server(i.ID),
			StartedAt: policy.Micros(i.Started) * policy.Millisecond, Weight: i.Weight,
			Cell: policy.CellID(i.Cell), MachineType: policy.MachineTypeID(index(&n.kinds, i.Kind)),
			Zone: policy.ZoneID(n.zone(i.Zone)), State: state})
		list.Addrs = append(list.Addrs, i.Addr)
		listed[i.ID] = state != policy.Gone
	}
	for id := range n.servers {
		if still, told := listed[id]; told && !still || !told && d.Reset {
			n.forget(id)
		}
	}
	return list, d.Generation, nil
}
