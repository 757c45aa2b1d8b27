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

func none(string) string { return "" }

// values are changes by key, all of version 1.
func values(of map[store.Key]string) map[store.Key]*store.Value {
	out := map[store.Key]*store.Value{}
	for key, patch := range of {
		out[key] = &store.Value{Key: key, Version: 1, Patch: json.RawMessage(patch)}
	}
	return out
}

// Changes are laid over each other in the order of their reach, and none may touch what is a node's own.
func TestLay(t *testing.T) {
	c, err := ParseWithChanges([]byte(plain), values(map[store.Key]string{
		"node/n":    `{"settings":{"limits":{"max_pushes":7}}}`,
		"all":       `{"settings":{"limits":{"max_pushes":2,"dial_timeout":55}},"log_level":"warn"}`,
		"service/s": `{"settings":{"limits":{"max_pushes":5,"max_open":null,"idle_close":4000}}}`}), none, nil)
	if err != nil {
		t.Fatal(err)
	}
	if c.Rules.PushLimits.MaxPushes != 7 || c.Rules.PushLimits.DialTimeout != 55_000 || c.LogLevel != zerolog.WarnLevel {
		t.Errorf("%+v, %v", c.Rules.PushLimits, c.LogLevel)
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
		t.Errorf("a form that this program does not know is for others to look at: %v", err)
	}
}

// What is faulty for one key leaves that key as it was, and takes the others over; what finds no room is tried again; what can't be
// installed leaves everything as it was; a file that is read anew keeps its changes.
func TestApplier(t *testing.T) {
	replica, err := store.NewReplica(store.ReplicaOptions{Replicas: []string{"127.0.0.1:1"}, Dir: t.TempDir()}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(replica)
	defer server.Close()
	defer server.CloseClientConnections()
	file := strings.Replace(plain, `{"name"`, `{"store":{"replicas":["`+strings.TrimPrefix(server.URL, "http://")+`"],"service":"s"},"name"`, 1)
	conf, err := config.Parse([]byte(file), none)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	busy, broken := 1, false
	installed := make(chan int, 16)
	a := New(Options{Config: conf, Getenv: none, InstallLock: &sync.Mutex{}, Incarnation: "1", Log: zerolog.Nop(), Install: func(c *config.Config) error {
		mu.Lock()
		defer mu.Unlock()
		if busy > 0 {
			busy--
			return errors.Join(ErrBusy, errors.New("no room"))
		}
		if broken {
			return errors.New("key fleet.listen: in use")
		}
		installed <- c.Rules.PushLimits.MaxPushes
		return nil
	}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { a.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	change := func(key store.Key, id, patch string) {
		t.Helper()
		if _, _, err := replica.Propose(t.Context(), &store.Change{Key: key, ID: id, Patch: json.RawMessage(patch)}); err != nil {
			t.Fatal(err)
		}
	}
	runs := func(key store.Key) store.Version { return a.View().Applied[key] }
	await := func(what string, is func() bool) {
		t.Helper()
		for begun := time.Now(); !is(); time.Sleep(10 * time.Millisecond) {
			if time.Since(begun) > 15*time.Second {
				t.Fatalf("%s: %+v", what, a.View())
			}
		}
	}
	change("service/s", "a", `{"settings":{"limits":{"max_pushes":4}}}`)
	change("node/n", "b", `{"settings":{"tick":"never"}}`)
	await("one good, one faulty", func() bool { return runs("service/s") == 1 && a.View().Refused["node/n"].Version == 1 })
	if why := a.View().Refused["node/n"].Reason; !strings.Contains(why, "setting tick") {
		t.Errorf("refused by %q", why)
	}
	if got := <-installed; got != 4 || len(installed) > 0 {
		t.Errorf("installed %d, and %d more", got, len(installed))
	}
	mu.Lock()
	broken = true
	mu.Unlock()
	change("service/s", "c", `{"settings":{"limits":{"max_pushes":6}}}`)
	await("what can't be installed", func() bool { return a.View().Refused["service/s"].Version == 2 })
	if runs("service/s") != 1 {
		t.Errorf("runs %d", runs("service/s"))
	}
	mu.Lock()
	broken = false
	mu.Unlock()
	// The file is read anew: what runs is laid over it, and what was refused is tried with it.
	other, err := config.Parse([]byte(strings.Replace(file, `"dial_timeout":100`, `"dial_timeout":70`, 1)), none)
	if err != nil {
		t.Fatal(err)
	}
	over, err := a.WithChanges(other)
	if err != nil || over.Rules.PushLimits.MaxPushes != 4 || over.Rules.PushLimits.DialTimeout != 70_000 {
		t.Errorf("%v: %+v", err, over.Rules.PushLimits)
	}
	a.SetFile(other.Raw)
	await("tried again with the new file", func() bool { return runs("service/s") == 2 && a.View().Refused["node/n"].Version == 1 })
	if got := <-installed; got != 6 {
		t.Errorf("installed %d", got)
	}
}
