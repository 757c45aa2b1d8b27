package apply

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/store"
)

func noEnv(string) string { return "" }

// versionOneValues returns a value of version 1 for each patch.
func versionOneValues(patches map[store.Key]string) map[store.Key]*store.Value {
	values := map[store.Key]*store.Value{}
	for key, patch := range patches {
		values[key] = &store.Value{Key: key, Version: 1, Patch: json.RawMessage(patch)}
	}
	return values
}

// TestParseWithChanges checks that patches are merged from the widest key to the narrowest, and that faulty changes and
// those to a setting that belongs to a node alone are refused.
func TestParseWithChanges(t *testing.T) {
	conf, err := ParseWithChanges([]byte(validConfig), versionOneValues(map[store.Key]string{
		"node/n":    `{"settings":{"limits":{"max_pushes":7}}}`,
		"all":       `{"settings":{"limits":{"max_pushes":2,"dial_timeout":55}},"log_level":"warn"}`,
		"service/s": `{"settings":{"limits":{"max_pushes":5,"max_open":null,"idle_close":4000}}}`}), noEnv, nil)
	if err != nil {
		t.Fatal(err)
	}
	if conf.Rules.PushLimits.MaxPushes != 7 || conf.Rules.PushLimits.DialTimeout != 55_000 || conf.LogLevel != zerolog.WarnLevel {
		t.Errorf("%+v, %v", conf.Rules.PushLimits, conf.LogLevel)
	}
	for patch, want := range map[string]string{
		`{"settings":{"tick":"often"}}`: "setting tick is no number",
		`{"fleet":{}}`:                  "key fleet can't be changed",
		`{"settings":{"az":1}}`:         "key settings.az is a node's own",
		`[]`:                            "no object",
		`{}`:                            "empty",
		`{"settings":null}`:             "settings is missing",
		`{"log_level":"loud"}`:          "key log_level",
		`{"discovery":"nowhere"}`:       "key discovery",
		`{"settings":{"limits":{"max_pushes":-1}}}`: "limits.max_pushes",
	} {
		if err := ValidateChange(&store.Change{Key: "all", Patch: json.RawMessage(patch)}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", patch, err)
		}
	}
	if err := ValidateChange(&store.Change{Key: "node/n", Patch: json.RawMessage(`{"settings":{"az":0}}`)}); err != nil {
		t.Error(err)
	}
	if err := ValidateChange(&store.Change{Key: "all", RequiredFormat: config.FormatVersion + 1, Patch: json.RawMessage(`{"later":1}`)}); err != nil {
		t.Errorf("a change of a later format must be left to the nodes that support it: %v", err)
	}
}

// TestApplier checks that a faulty change leaves its key as it was while the others are applied, that an attempt on a busy
// node is repeated, that a configuration that can't be installed leaves everything as it was, and that a reloaded file
// keeps its changes and gives refused ones another try.
func TestApplier(t *testing.T) {
	replica, err := store.NewReplica(store.ReplicaOptions{Replicas: []string{"127.0.0.1:1"}, Dir: t.TempDir()}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(replica)
	defer server.Close()
	defer server.CloseClientConnections()
	file := strings.Replace(validConfig, `{"name"`, `{"store":{"replicas":["`+strings.TrimPrefix(server.URL, "http://")+`"],"service":"s"},"name"`, 1)
	conf, err := config.Parse([]byte(file), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	busy := 1       // attempts that fail with ErrBusy
	broken := false // whether Install fails
	installed := make(chan int, 16)
	applier := New(Options{Config: conf, Getenv: noEnv, InstallLock: &sync.Mutex{}, Incarnation: "1", Log: zerolog.Nop(), Install: func(c *config.Config) error {
		mu.Lock()
		defer mu.Unlock()
		if busy > 0 {
			busy--
			return errors.Join(ErrBusy, errors.New("too many settings in use"))
		}
		if broken {
			return errors.New("key fleet.listen: in use")
		}
		installed <- c.Rules.PushLimits.MaxPushes
		return nil
	}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		applier.Run(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	propose := func(key store.Key, id, patch string) {
		t.Helper()
		if _, _, err := replica.Propose(t.Context(), &store.Change{Key: key, ID: id, Patch: json.RawMessage(patch)}); err != nil {
			t.Fatal(err)
		}
	}
	appliedVersion := func(key store.Key) store.Version { return applier.View().Applied[key] }
	await := func(what string, condition func() bool) {
		t.Helper()
		for start := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > 15*time.Second {
				t.Fatalf("%s: %+v", what, applier.View())
			}
		}
	}
	propose("service/s", "a", `{"settings":{"limits":{"max_pushes":4}}}`)
	propose("node/n", "b", `{"settings":{"tick":"never"}}`)
	await("one valid and one faulty change", func() bool { return appliedVersion("service/s") == 1 && applier.View().Refused["node/n"].Version == 1 })
	if reason := applier.View().Refused["node/n"].Reason; !strings.Contains(reason, "setting tick") {
		t.Errorf("refused because of %q", reason)
	}
	if got := <-installed; got != 4 || len(installed) > 0 {
		t.Errorf("installed max_pushes %d, and %d more configurations", got, len(installed))
	}
	mu.Lock()
	broken = true
	mu.Unlock()
	propose("service/s", "c", `{"settings":{"limits":{"max_pushes":6}}}`)
	await("configuration that can't be installed", func() bool { return applier.View().Refused["service/s"].Version == 2 })
	if appliedVersion("service/s") != 1 {
		t.Errorf("applied version %d", appliedVersion("service/s"))
	}
	mu.Lock()
	broken = false
	mu.Unlock()
	// The file is reloaded: applied values are merged into it, and refused ones are tried again.
	reloaded, err := config.Parse([]byte(strings.Replace(file, `"dial_timeout":100`, `"dial_timeout":70`, 1)), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	patched, err := applier.WithChanges(reloaded)
	if err != nil || patched.Rules.PushLimits.MaxPushes != 4 || patched.Rules.PushLimits.DialTimeout != 70_000 {
		t.Errorf("%v: %+v", err, patched.Rules.PushLimits)
	}
	applier.SetFile(reloaded.Raw)
	await("another try with the reloaded file", func() bool { return appliedVersion("service/s") == 2 && applier.View().Refused["node/n"].Version == 1 })
	if got := <-installed; got != 6 {
		t.Errorf("installed max_pushes %d", got)
	}
}
