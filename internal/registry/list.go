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

// listDocument is one line of the registry's response: a full list or the changes since the previous line.
type listDocument struct {
	Generation uint64             `json:"generation"`
	Reset      bool               `json:"reset"`
	Instances  []instanceDocument `json:"instances"`
}

// instanceDocument is one server in a listDocument.
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

// lifecycleStates maps the registry's lifecycle values to server states.
var lifecycleStates = map[string]policy.ServerState{
	"active":  policy.Ready,
	"leaving": policy.Draining,
	"left":    policy.Gone,
}

// idAllocator maps the registry's names to the numbers that the policy uses. A server keeps its ID while it is on the
// list; the ID is a hash of the instance ID, so a server that returns gets the same one unless that is in use. Zones and
// machine types keep their numbers until the process ends.
type idAllocator struct {
	serverIDs           map[string]policy.ServerID
	usedIDs             map[policy.ServerID]bool
	zones, machineTypes []string
	zonesMu             sync.Mutex // guards zones, which ZoneID reads from another goroutine
}

// newIDAllocator numbers the given zones and machine types from 0 in the given order.
func newIDAllocator(zones, machineTypes []string) *idAllocator {
	return &idAllocator{
		serverIDs:    make(map[string]policy.ServerID),
		usedIDs:      make(map[policy.ServerID]bool),
		zones:        slices.Clone(zones),
		machineTypes: slices.Clone(machineTypes),
	}
}

// serverID returns the ID of an instance, a hash of its instance ID. The policy sorts servers by ID and spreads the
// nodes evenly over that order, so the order must be the same at every node. IDs numbered by order of arrival would
// differ between nodes.
func (a *idAllocator) serverID(instanceID string) policy.ServerID {
	if known, found := a.serverIDs[instanceID]; found {
		return known
	}
	hash := fnv.New64a()
	hash.Write([]byte(instanceID))
	serverID := policy.ServerID(hash.Sum64() >> 16) // 48 bits, the size of the simulator's addresses
	for a.usedIDs[serverID] {
		serverID++
	}
	a.usedIDs[serverID] = true
	a.serverIDs[instanceID] = serverID
	return serverID
}

// releaseServer frees the ID of an instance that is off the list. Without this, the maps would grow without bound: new
// instances keep arriving under instance IDs that were never seen before.
func (a *idAllocator) releaseServer(instanceID string) {
	delete(a.usedIDs, a.serverIDs[instanceID])
	delete(a.serverIDs, instanceID)
}

// nameIndex returns the index of name in names and appends the name if it is new. All names past the 256th share the
// index 255.
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

// zoneIndex returns the number of a zone.
func (a *idAllocator) zoneIndex(name string) uint8 {
	a.zonesMu.Lock()
	defer a.zonesMu.Unlock()
	return nameIndex(&a.zones, name)
}

// parseList decodes one line of the registry's response and returns the list and its generation.
func (a *idAllocator) parseList(raw []byte) (*node.List, uint64, error) {
	var document listDocument
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, 0, err
	}
	list := &node.List{Form: policy.ListChanges}
	if document.Reset {
		list.Form = policy.ListFull
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
		list.Entries = append(list.Entries, policy.ListEntry{
			Server:      a.serverID(instance.ID),
			StartedAt:   policy.Micros(instance.StartedAtMs) * policy.Millisecond,
			Weight:      instance.Weight,
			Cell:        policy.CellID(instance.Cell),
			MachineType: policy.MachineTypeID(nameIndex(&a.machineTypes, instance.MachineType)),
			Zone:        policy.ZoneID(a.zoneIndex(instance.Zone)),
			State:       state,
		})
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
