package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of the list of servers.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// Registry is the stand-in of discovery: it answers the whole list, and watches with an empty line every 2 s.
type Registry struct {
	Addr string

	mu         sync.Mutex
	generation int
	instances  []Instance
	changed    []int         // generation of the latest change of each instance
	wake       chan struct{} // closed at each change
}

// StartRegistry starts a registry with a list.
func (r *Run) StartRegistry(instances []Instance) *Registry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	g := &Registry{Addr: l.Addr().String(), generation: 41, instances: instances, wake: make(chan struct{})}
	g.changed = make([]int, len(instances))
	go (&http.Server{Handler: g}).Serve(l)
	return g
}

// Known returns the whole list.
func (g *Registry) Known() json.RawMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.document(-1)
}

// Change replaces the entry of an instance, or adds it.
func (g *Registry) Change(instance Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation++
	found := false
	for i := range g.instances {
		if g.instances[i].ID == instance.ID {
			g.instances[i] = instance
			g.changed[i] = g.generation
			found = true
		}
	}
	if !found {
		g.instances = append(g.instances, instance)
		g.changed = append(g.changed, g.generation)
	}
	close(g.wake)
	g.wake = make(chan struct{})
}

// document returns what has changed after a generation, or the whole list for -1. The caller holds mu.
func (g *Registry) document(after int) json.RawMessage {
	list := []Instance{}
	for i, instance := range g.instances {
		if after >= 0 && g.changed[i] > after || after < 0 && instance.Lifecycle != "left" {
			list = append(list, instance)
		}
	}
	raw, _ := json.Marshal(Object{"generation": g.generation, "reset": after < 0, "instances": list})
	return raw
}

// ServeHTTP answers a call for the list or a watch.
func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	g.mu.Lock()
	seen := -1
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from <= g.generation {
		seen = from
	}
	if r.URL.Query().Get("watch") == "" {
		raw := g.document(-1)
		g.mu.Unlock()
		w.Write(raw)
		return
	}
	g.mu.Unlock()
	for first := true; ; first = false {
		g.mu.Lock()
		wake := g.wake
		line := []byte{}
		if seen != g.generation {
			line = g.document(seen)
			seen = g.generation
		}
		g.mu.Unlock()
		if len(line) > 0 || !first {
			if _, err := fmt.Fprintf(w, "%s\n", line); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
