//go:build !platform

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/store"
	"canvasrouter/internal/store/apply"
)

// replicaCommand is one of the machines set aside for control.
type replicaCommand struct {
	File string `arg:"" help:"The replica's configuration."`
}

// replicaFile is its form.
type replicaFile struct {
	Number   *int     `json:"number"`
	Listen   string   `json:"listen"`
	Replicas []string `json:"replicas"`
	Dir      string   `json:"dir"`
	Bind     string   `json:"bind"`
}

func readReplica(path string) (o store.ReplicaOptions, listen string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return o, "", err
	}
	var f replicaFile
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	switch err := decoder.Decode(&f); {
	case err != nil:
		return o, "", fmt.Errorf("%s: %w", path, err)
	case len(f.Replicas) < 1 || len(f.Replicas)%2 == 0 || len(f.Replicas) > 7:
		return o, "", fmt.Errorf("%s: key replicas: %d addresses; an odd number up to 7 is wanted", path, len(f.Replicas))
	case f.Number == nil || *f.Number < 0 || *f.Number >= len(f.Replicas):
		return o, "", fmt.Errorf("%s: key number: it is none of the places in replicas", path)
	case f.Dir == "":
		return o, "", fmt.Errorf("%s: key dir is missing: what was promised has to outlive the process", path)
	}
	for _, addr := range append(slices.Clone(f.Replicas), f.Listen) {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return o, "", fmt.Errorf("%s: key replicas or listen: %w", path, err)
		}
	}
	dialer := &net.Dialer{Timeout: time.Second}
	if f.Bind != "" {
		ip := net.ParseIP(f.Bind)
		if ip == nil {
			return o, "", fmt.Errorf("%s: key bind: %q is no IP address", path, f.Bind)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return store.ReplicaOptions{Index: *f.Number, Replicas: f.Replicas, Dir: f.Dir, Validate: apply.ValidateChange, Dial: dialer.DialContext}, f.Listen, nil
}

// Run is a replica until SIGTERM.
func (c *replicaCommand) Run() error {
	o, listen, err := readReplica(c.File)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Int("replica", o.Index).Logger()
	r, err := store.NewReplica(o, log)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("key listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: r, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	go r.Run(ctx)
	go func() {
		<-ctx.Done()
		server.Close() // watches have no end of their own; nodes go to another replica
	}()
	log.Info().Str("listen", listen).Strs("replicas", o.Replicas).Msg("replica starts")
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info().Msg("replica ends")
	return nil
}

// changeCommand asks for a change.
type changeCommand struct {
	File  string         `arg:"" help:"A configuration with the key store: a node's."`
	Key   string         `help:"Whom it is for: all, service/NAME or node/NAME." required:"" placeholder:"KEY"`
	Patch string         `help:"File with what changes (RFC 7396), in place of what the key changed before." type:"existingfile" placeholder:"FILE"`
	Back  bool           `help:"Go back to the patch before."`
	From  *store.Version `help:"Only if this version stands; 0 for none." placeholder:"VERSION"`
	ID    string         `help:"The same change asked twice has the same id; made from the change if left out." placeholder:"ID"`
	Needs int            `help:"Form of configuration that programs must know." default:"1"`
	Wait  time.Duration  `help:"Wait so long for it to be in force everywhere." default:"8s"`
}

func storeOf(file string) (*config.Store, error) {
	c, err := config.Load(environment(file))
	if err != nil {
		return nil, err
	}
	if c.Store == nil {
		return nil, errors.New("config: key store is left out: there is nobody to ask")
	}
	return c.Store, nil
}

// Run asks each replica in turn until one answers, and then looks who runs it.
func (c *changeCommand) Run() error {
	s, err := storeOf(c.File)
	if err != nil {
		return err
	}
	change := store.Change{Key: store.Key(c.Key), ID: c.ID, ExpectedVersion: c.From, Rollback: c.Back, RequiredFormat: c.Needs}
	if c.Patch != "" {
		raw, err := os.ReadFile(c.Patch)
		if err != nil {
			return err
		}
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return fmt.Errorf("%s: not JSON: %w", c.Patch, err)
		}
		change.Patch = compact.Bytes()
	}
	if change.ID == "" {
		change.ID = fmt.Sprintf("%x", time.Now().UnixNano())
	}
	answer, err := askFor(s.Replicas, &change)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s, version %d (id %s)\n", c.Key, answer.Verdict, answer.Version, change.ID)
	for begun := time.Now(); c.Wait > 0; time.Sleep(200 * time.Millisecond) {
		g := gatherStates(s.Replicas)
		runs, of, lag, refused := g.runs(change.Key, answer.Version)
		if of > 0 && runs == of || time.Since(begun) > c.Wait {
			fmt.Printf("in force at %d of %d nodes after %.1f s\n", runs, of, time.Since(begun).Seconds())
			for _, line := range append(refused, lag...) {
				fmt.Println(" ", line)
			}
			if of == 0 {
				return errors.New("no node that it is for has reported")
			}
			if runs < of {
				return fmt.Errorf("not in force at %d nodes", of-runs)
			}
			return nil
		}
	}
	return nil
}

var client = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// askFor asks for a change, one replica after another until one says something. Danger: one that says that there is no majority may be the one
// that is cut off; the next may not be.
func askFor(replicas []string, change *store.Change) (*store.ChangeResponse, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return nil, err
	}
	last := errors.New("no replica is named")
	for _, addr := range replicas {
		response, err := client.Post("http://"+addr+"/change", "application/json", bytes.NewReader(raw))
		if err != nil {
			last = err
			continue
		}
		body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		response.Body.Close()
		var a store.ChangeResponse
		if err := json.Unmarshal(body, &a); err != nil {
			last = fmt.Errorf("replica at %s answered %s", addr, response.Status)
			continue
		}
		switch response.StatusCode {
		case http.StatusOK:
			return &a, nil
		case http.StatusBadRequest:
			return nil, fmt.Errorf("refused: %s", a.Reason)
		case http.StatusConflict:
			return nil, fmt.Errorf("%s: version %d stands", a.Verdict, a.Version)
		}
		last = errors.New(a.Reason)
	}
	return nil, last
}

// states are what the replicas know together.
type states struct {
	all    []*store.ReplicaState
	faults []string
	nodes  map[string]store.NodeReport // the youngest of each
	values map[store.Key]*store.Value
}

func gatherStates(replicas []string) *states {
	g := &states{nodes: map[string]store.NodeReport{}, values: map[store.Key]*store.Value{}}
	for i, addr := range replicas {
		response, err := client.Get("http://" + addr + "/state")
		if err != nil {
			g.faults = append(g.faults, fmt.Sprintf("replica %d at %s does not answer: %v", i, addr, err))
			continue
		}
		s := &store.ReplicaState{}
		err = json.NewDecoder(io.LimitReader(response.Body, 256<<20)).Decode(s)
		response.Body.Close()
		if err != nil {
			g.faults = append(g.faults, fmt.Sprintf("replica %d at %s: %v", i, addr, err))
			continue
		}
		g.all = append(g.all, s)
		for _, n := range s.Nodes {
			if was, known := g.nodes[n.Node]; !known || n.AgeMs < was.AgeMs {
				g.nodes[n.Node] = n
			}
		}
		for _, v := range s.Values {
			store.MergeNewer(g.values, v)
		}
	}
	return g
}

// runs counts the nodes that a key is for, and names those that lag behind a version or refuse it.
func (g *states) runs(key store.Key, version store.Version) (runs, of int, lag, refused []string) {
	for _, name := range slices.Sorted(maps.Keys(g.nodes)) {
		n := g.nodes[name]
		if !slices.Contains(n.Keys, key) {
			continue
		}
		of++
		switch no, has := n.Refused[key]; {
		case n.Applied[key] >= version:
			runs++
		case has && no.Version >= version:
			refused = append(refused, fmt.Sprintf("%s refuses version %d: %s", name, no.Version, no.Reason))
		default:
			lag = append(lag, fmt.Sprintf("%s runs version %d, heard %.1f s ago", name, n.Applied[key], n.AgeMs/1000))
		}
	}
	return runs, of, lag, refused
}

// changesCommand shows what stands and who runs it.
type changesCommand struct {
	File string `arg:"" help:"A configuration with the key store: a node's."`
	JSON bool   `name:"json" help:"What each replica knows, as JSON."`
}

func (c *changesCommand) Run() error {
	s, err := storeOf(c.File)
	if err != nil {
		return err
	}
	g := gatherStates(s.Replicas)
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", " ")
		return encoder.Encode(g.all)
	}
	for _, fault := range g.faults {
		fmt.Println(fault)
	}
	for _, of := range g.all {
		fmt.Printf("replica %d: %d keys, %d watch it\n", of.Index, len(of.Values), of.Watchers)
	}
	for _, key := range slices.Sorted(maps.Keys(g.values)) {
		v := g.values[key]
		runs, of, lag, refused := g.runs(key, v.Version)
		fmt.Printf("%s: version %d (id %s), in force at %d of %d nodes\n", key, v.Version, v.ID, runs, of)
		for _, line := range append(refused, lag...) {
			fmt.Println("  " + strings.TrimSpace(line))
		}
	}
	if len(g.all) == 0 {
		return errors.New("no replica answers")
	}
	return nil
}
