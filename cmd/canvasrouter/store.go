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

// replicaCommand runs a replica of the store.
type replicaCommand struct {
	File string `arg:"" help:"The replica's configuration file."`
}

// replicaFile is the JSON format of a replica's configuration file.
type replicaFile struct {
	Number   *int     `json:"number"`
	Listen   string   `json:"listen"`
	Replicas []string `json:"replicas"`
	Dir      string   `json:"dir"`
	Bind     string   `json:"bind"`
}

// readReplicaFile reads the configuration file of a replica.
func readReplicaFile(path string) (options store.ReplicaOptions, listen string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return options, "", err
	}
	var file replicaFile
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	switch err := decoder.Decode(&file); {
	case err != nil:
		return options, "", fmt.Errorf("%s: %w", path, err)
	case len(file.Replicas) < 1 || len(file.Replicas)%2 == 0 || len(file.Replicas) > 7:
		return options, "", fmt.Errorf("%s: key replicas: %d addresses; an odd number up to 7 is required", path, len(file.Replicas))
	case file.Number == nil || *file.Number < 0 || *file.Number >= len(file.Replicas):
		return options, "", fmt.Errorf("%s: key number: it must be an index into replicas", path)
	case file.Dir == "":
		return options, "", fmt.Errorf("%s: key dir is missing: the replica's promises must survive a restart", path)
	}
	for _, addr := range append(slices.Clone(file.Replicas), file.Listen) {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return options, "", fmt.Errorf("%s: key replicas or listen: %w", path, err)
		}
	}
	dialer := &net.Dialer{Timeout: time.Second}
	if file.Bind != "" {
		ip := net.ParseIP(file.Bind)
		if ip == nil {
			return options, "", fmt.Errorf("%s: key bind: %q is no IP address", path, file.Bind)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return store.ReplicaOptions{
		Index:    *file.Number,
		Replicas: file.Replicas,
		Dir:      file.Dir,
		Validate: apply.ValidateChange,
		Dial:     dialer.DialContext,
	}, file.Listen, nil
}

// Run runs the replica until SIGTERM or an interrupt.
func (c *replicaCommand) Run() error {
	options, listen, err := readReplicaFile(c.File)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Int("replica", options.Index).Logger()
	replica, err := store.NewReplica(options, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("key listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{
		Handler:           replica,
		ReadHeaderTimeout: 2 * time.Second,
		ReadTimeout:       5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	go replica.Run(ctx)
	go func() {
		<-ctx.Done()
		server.Close() // not Shutdown: watches never end by themselves, and their nodes go to another replica
	}()
	log.Info().Str("listen", listen).Strs("replicas", options.Replicas).Msg("replica starts")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info().Msg("replica ends")
	return nil
}

// changeCommand changes the configuration of nodes.
type changeCommand struct {
	File  string         `arg:"" help:"Configuration file of a node, with the key store."`
	Key   string         `help:"Nodes to change: all, service/NAME or node/NAME." required:"" placeholder:"KEY"`
	Patch string         `help:"File with a JSON merge patch (RFC 7396), which replaces the current patch of the key." type:"existingfile" placeholder:"FILE"`
	Back  bool           `help:"Go back to the previous patch."`
	From  *store.Version `help:"Change only if this is the current version; 0 for none." placeholder:"VERSION"`
	ID    string         `help:"Identifies the change, so that a repeated request is applied once; generated if left out." placeholder:"ID"`
	Needs int            `help:"Format of configuration that nodes must know." default:"1"`
	Wait  time.Duration  `help:"How long to wait until the change is in force at all nodes." default:"8s"`
}

// loadStoreConfig returns the key store of a configuration file.
func loadStoreConfig(file string) (*config.Store, error) {
	c, err := config.Load(environmentWithConfig(file))
	if err != nil {
		return nil, err
	}
	if c.Store == nil {
		return nil, errors.New("config: key store is left out: there is no replica to ask")
	}
	return c.Store, nil
}

// Run submits the change and then waits until it is in force at all nodes that it is for.
func (c *changeCommand) Run() error {
	storeConfig, err := loadStoreConfig(c.File)
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
	answer, err := submitChange(storeConfig.Replicas, &change)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s, version %d (id %s)\n", c.Key, answer.Verdict, answer.Version, change.ID)
	for started := time.Now(); c.Wait > 0; time.Sleep(200 * time.Millisecond) {
		states := fetchStates(storeConfig.Replicas)
		runs, total, lagging, refused := states.countRunning(change.Key, answer.Version)
		if total > 0 && runs == total || time.Since(started) > c.Wait {
			fmt.Printf("in force at %d of %d nodes after %.1f s\n", runs, total, time.Since(started).Seconds())
			for _, line := range append(refused, lagging...) {
				fmt.Println(" ", line)
			}
			if total == 0 {
				return errors.New("no node that the change is for has reported")
			}
			if runs < total {
				return fmt.Errorf("not in force at %d nodes", total-runs)
			}
			return nil
		}
	}
	return nil
}

// storeClient sends requests to the replicas of the store.
var storeClient = &http.Client{
	Timeout: 8 * time.Second,
	Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
	},
}

// submitChange sends a change to one replica after another until one accepts or refuses it. A replica that finds no
// majority may itself be the one that is cut off, so the next one is asked, too.
func submitChange(replicas []string, change *store.Change) (*store.ChangeResponse, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return nil, err
	}
	lastErr := errors.New("no replica is configured")
	for _, addr := range replicas {
		response, err := storeClient.Post("http://"+addr+"/change", "application/json", bytes.NewReader(raw))
		if err != nil {
			lastErr = err
			continue
		}
		body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		response.Body.Close()
		var answer store.ChangeResponse
		if err := json.Unmarshal(body, &answer); err != nil {
			lastErr = fmt.Errorf("replica at %s answered %s", addr, response.Status)
			continue
		}
		switch response.StatusCode {
		case http.StatusOK:
			return &answer, nil
		case http.StatusBadRequest:
			return nil, fmt.Errorf("refused: %s", answer.Reason)
		case http.StatusConflict:
			return nil, fmt.Errorf("%s: version %d stands", answer.Verdict, answer.Version)
		}
		lastErr = errors.New(answer.Reason)
	}
	return nil, lastErr
}

// storeStates is the state of all replicas that answer.
type storeStates struct {
	replicas []*store.ReplicaState
	failures []string
	nodes    map[string]store.NodeReport // the latest report of each node, by name
	values   map[store.Key]*store.Value
}

// fetchStates asks all replicas for their state.
func fetchStates(replicas []string) *storeStates {
	states := &storeStates{nodes: map[string]store.NodeReport{}, values: map[store.Key]*store.Value{}}
	for i, addr := range replicas {
		response, err := storeClient.Get("http://" + addr + "/state")
		if err != nil {
			states.failures = append(states.failures, fmt.Sprintf("replica %d at %s does not answer: %v", i, addr, err))
			continue
		}
		state := &store.ReplicaState{}
		err = json.NewDecoder(io.LimitReader(response.Body, 256<<20)).Decode(state)
		response.Body.Close()
		if err != nil {
			states.failures = append(states.failures, fmt.Sprintf("replica %d at %s: %v", i, addr, err))
			continue
		}
		states.replicas = append(states.replicas, state)
		for _, report := range state.Nodes {
			if previous, known := states.nodes[report.Node]; !known || report.AgeMs < previous.AgeMs {
				states.nodes[report.Node] = report
			}
		}
		for _, value := range state.Values {
			store.MergeNewer(states.values, value)
		}
	}
	return states
}

// countRunning counts the nodes that a key is for and those of them that run a version of it or a later one. lagging and
// refused describe the others.
func (s *storeStates) countRunning(key store.Key, version store.Version) (runs, total int, lagging, refused []string) {
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		report := s.nodes[name]
		if !slices.Contains(report.Keys, key) {
			continue
		}
		total++
		switch refusal, isRefused := report.Refused[key]; {
		case report.Applied[key] >= version:
			runs++
		case isRefused && refusal.Version >= version:
			refused = append(refused, fmt.Sprintf("%s refuses version %d: %s", name, refusal.Version, refusal.Reason))
		default:
			lagging = append(lagging, fmt.Sprintf("%s runs version %d, heard %.1f s ago", name, report.Applied[key], report.AgeMs/1000))
		}
	}
	return runs, total, lagging, refused
}

// changesCommand shows the current changes and the nodes that run them.
type changesCommand struct {
	File string `arg:"" help:"Configuration file of a node, with the key store."`
	JSON bool   `name:"json" help:"Print the state of each replica as JSON."`
}

// Run prints one block for each key.
func (c *changesCommand) Run() error {
	storeConfig, err := loadStoreConfig(c.File)
	if err != nil {
		return err
	}
	states := fetchStates(storeConfig.Replicas)
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", " ")
		return encoder.Encode(states.replicas)
	}
	for _, failure := range states.failures {
		fmt.Println(failure)
	}
	for _, replica := range states.replicas {
		fmt.Printf("replica %d: %d keys, %d watch it\n", replica.Index, len(replica.Values), replica.Watchers)
	}
	for _, key := range slices.Sorted(maps.Keys(states.values)) {
		value := states.values[key]
		runs, total, lagging, refused := states.countRunning(key, value.Version)
		fmt.Printf("%s: version %d (id %s), in force at %d of %d nodes\n", key, value.Version, value.ID, runs, total)
		for _, line := range append(refused, lagging...) {
			fmt.Println("  " + strings.TrimSpace(line))
		}
	}
	if len(states.replicas) == 0 {
		return errors.New("no replica answers")
	}
	return nil
}
