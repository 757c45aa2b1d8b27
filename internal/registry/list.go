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
type listDocument struct {
	Generation uint64             `json:"generation"`
	Reset      bool               `json:"reset"`
	Instances  []instanceDocument `json:"instances"`
}

type instanceDocument struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint16  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

var lifecycleStates = map[string]policy.ServerState{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// names gives words their numbers: a server keeps its number while it is on the list, and since that is a hash of its
// id, it has the same one when it comes back. Zones and kinds keep theirs for the life of the process.
type idAllocator struct {
	serverIDs           map[string]policy.ServerID
	usedIDs             map[policy.ServerID]bool
	zones, machineTypes []string
	zonesMu             sync.Mutex // of zones: new settings look one up
}

func newIDAllocator(zones, machineTypes []string) *idAllocator {
	return &idAllocator{serverIDs: make(map[string]policy.ServerID), usedIDs: make(map[policy.ServerID]bool),
		zones: slices.Clone(zones), machineTypes: slices.Clone(machineTypes)}
}

// server hashes a text id. The module puts servers in order of their ids and spreads nodes evenly over that
// order, so it must be the same at every node; numbers given in order of arrival would not be.
func (a *idAllocator) serverID(instanceID string) policy.ServerID {
	if known, found := a.serverIDs[instanceID]; found {
		return known
	}
	hash := fnv.New64a()
	hash.Write([]byte(instanceID))
	serverID := policy.ServerID(hash.Sum64() >> 16) // 48 bits, as the simulator's addresses
	for a.usedIDs[serverID] {
		serverID++
	}
	a.usedIDs[serverID], a.serverIDs[instanceID] = true, serverID
	return serverID
}

// forget gives a number back. Danger: ids are ever new on long days, and a number kept for each would fill the memory.
func (a *idAllocator) releaseServer(instanceID string) {
	delete(a.usedIDs, a.serverIDs[instanceID])
	delete(a.serverIDs, instanceID)
}

// index numbers a word; those past the last number share it.
func nameIndex(names *[]string, name string) uint8 {
	position := slices.Index(*names, name)
	if position < 0 && len(*names) <= math.MaxUint8 {
		position = len(*names)
		*names = append(*names, name)
	}
	if position < 0 {
		return math.MaxUint8
	}
	return uint8(position)
}

func (a *idAllocator) zoneIndex(name string) uint8 {
	a.zonesMu.Lock()
	defer a.zonesMu.Unlock()
	return nameIndex(&a.zones, name)
}

// parse reads one line of the list.
func (a *idAllocator) parseList(raw []byte) (*node.List, uint64, error) {
	var document listDocument
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, 0, err
	}
	list := &node.List{Form: policy.ListChanges}
	if document.Reset {
		list.Form = policy.ListWhole
	}
	onListByID := make(map[string]bool, len(document.Instances))
	for _, instance := range document.Instances {
		state, known := lifecycleStates[instance.Lifecycle]
		if !known {
			return nil, 0, fmt.Errorf("instance %q: unknown lifecycle %q", instance.ID, instance.Lifecycle)
		}
		if _, _, err := net.SplitHostPort(instance.Addr); state != policy.Gone && (err != nil || instance.ID == "") {
			return nil, 0, fmt.Errorf("instance %q: hostPort %q", instance.ID, instance.Addr)
		}
		if !(instance.Weight > 0) {
			instance.Weight = 1
		}
		list.Entries = append(list.Entries, policy.Entry{Server: a.serverID(instance.ID),
			Started: policy.Micros(instance.StartedAtMs) * policy.Millisecond, Weight: instance.Weight,
			Cell: policy.CellID(instance.Cell), Kind: policy.KindID(nameIndex(&a.machineTypes, instance.MachineType)),
			Zone: policy.ZoneID(a.zoneIndex(instance.Zone)), State: state})
		list.Addrs = append(list.Addrs, instance.Addr)
		onListByID[instance.ID] = state != policy.Gone
	}
	for id := range a.serverIDs {
		if onList, included := onListByID[id]; included && !onList || !included && document.Reset {
			a.releaseServer(id)
		}
	}
	return list, document.Generation, nil
}
