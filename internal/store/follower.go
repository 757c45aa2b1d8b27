package store

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// mostSilence ends a watch: an empty line comes each 2 s, and two that are missing are enough.
	mostSilence = 2*emptyEvery + 200*time.Millisecond
	dialWait    = time.Second
	lineWait    = 3 * time.Second // for a watch's first line
	firstAgain  = 250 * time.Millisecond
	mostAgain   = 2 * time.Second // between two tries: a change is in force everywhere within 8 s
	reportWait  = 2 * time.Second
	reportAgain = 30 * time.Second // the same report, should the replica have lost it
	mostLine    = 2 * mostPatch
)

// FollowerOptions say who follows, and where.
type FollowerOptions struct {
	Replicas    []string
	Keys        []Key // its own, in the order in which they are laid over each other
	Node        string
	Incarnation string
	Zone        int
	Seed        uint64
	LocalIP     net.IP // that calls come from; nil: any
}

// Keys are those of a node: all nodes', its service's, its own; a later one is laid over an earlier.
func NodeKeys(service, node string) []Key {
	keys := []Key{"all"}
	if service != "" {
		keys = append(keys, Key("service/"+service))
	}
	return append(keys, Key("node/"+node))
}

// Follower is a node's actor: it watches one replica after another, hands on what is newer, and reports what the node runs.
type Follower struct {
	options FollowerOptions
	log     zerolog.Logger
	client  *http.Client
	rng     *rand.Rand
	at      int // the replica that is watched

	mu       sync.Mutex
	held     map[Key]*Value // as told; the node may run less
	report   Report
	anew     chan struct{} // holds one: there is something to report
	watching string        // address; "": none
}

// NewFollower makes the actor.
func NewFollower(o FollowerOptions, log zerolog.Logger) *Follower {
	dialer := &net.Dialer{Timeout: dialWait}
	if o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.LocalIP}
	}
	f := &Follower{options: o, log: log, held: map[Key]*Value{}, anew: make(chan struct{}, 1),
		rng:    rand.New(rand.NewPCG(o.Seed, 0x57a7e)),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
		report: Report{Node: o.Node, Incarnation: o.Incarnation, Zone: o.Zone, Keys: o.Keys, Applied: map[Key]Version{}}}
	f.at = f.rng.IntN(max(1, len(o.Replicas)))
	return f
}

// Run follows until ctx is done. Tell gets all that is held, in the order of the keys, whenever something is newer; it must not wait
// for long.
func (f *Follower) Run(ctx context.Context, tell func([]*Value)) {
	var reports sync.WaitGroup
	reports.Go(func() { f.reports(ctx) })
	defer reports.Wait()
	for again := firstAgain; ctx.Err() == nil; {
		lines, err := f.watch(ctx, tell)
		if ctx.Err() != nil {
			return
		}
		f.log.Warn().Err(err).Str("replica", f.options.Replicas[f.at]).Msg("watch of the store ended")
		if lines > 0 {
			again = firstAgain
		}
		// Danger: all nodes of a lost replica come to the two others at once; they come at random, and ever later while none is there.
		f.at = (f.at + 1 + f.rng.IntN(max(1, len(f.options.Replicas)-1))) % len(f.options.Replicas)
		select {
		case <-ctx.Done():
		case <-time.After(again/2 + time.Duration(f.rng.Int64N(int64(again/2)+1))):
		}
		again = min(2*again, mostAgain)
	}
}

// errSilent says that a watch brought nothing for too long.
var errSilent = errors.New("silent")

func (f *Follower) watch(ctx context.Context, tell func([]*Value)) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(lineWait, func() { cancel(errSilent) })
	defer quiet.Stop()
	f.mu.Lock()
	var held []string
	for _, key := range f.options.Keys {
		version := Version(0)
		if v := f.held[key]; v != nil {
			version = v.Version
		}
		held = append(held, fmt.Sprintf("%s:%d", key, version))
	}
	f.mu.Unlock()
	addr := f.options.Replicas[f.at]
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/changes?held="+strings.Join(held, ","), nil)
	if err != nil {
		return 0, err
	}
	response, err := f.client.Do(q)
	if err != nil {
		return 0, errors.Join(err, context.Cause(ctx))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("replica answered %s", response.Status)
	}
	in := bufio.NewReaderSize(response.Body, mostLine)
	defer f.watches("")
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return lines, errors.Join(err, context.Cause(ctx))
		}
		quiet.Reset(mostSilence)
		if lines++; lines == 1 {
			f.watches(addr)
			f.again()
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		v := &Value{}
		if err := json.Unmarshal(line, v); err != nil {
			return lines, fmt.Errorf("broken line: %w", err)
		}
		if f.take(v) {
			tell(f.Values())
		}
	}
}

// take keeps a value that is newer. Danger: replicas may be behind each other, and a node that goes from one to the next must not go back.
func (f *Follower) take(v *Value) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.options.Keys, v.Key) && MergeNewer(f.held, v)
}

// Held is all that the node was told, in the order of its keys.
func (f *Follower) Values() (all []*Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range f.options.Keys {
		if v := f.held[key]; v != nil {
			all = append(all, v)
		}
	}
	return all
}

func (f *Follower) watches(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = addr
}

// again says that the report has to be made anew: the replica is another one, or what runs is.
func (f *Follower) again() {
	select {
	case f.anew <- struct{}{}:
	default:
	}
}

// Runs says what the node runs now, and what it refused.
func (f *Follower) ReportApplied(runs map[Key]Version, refused map[Key]Refusal) {
	f.mu.Lock()
	f.report.Applied, f.report.Refused = maps.Clone(runs), maps.Clone(refused)
	f.report.Sequence++
	f.mu.Unlock()
	f.again()
}

// reports tells the replica that is watched what the node runs, once for each change of that, and now and then.
func (f *Follower) reports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.anew:
		case <-time.After(reportAgain/2 + rand.N(reportAgain)):
		}
		f.mu.Lock()
		addr := f.watching
		raw, err := json.Marshal(&f.report)
		f.mu.Unlock()
		if addr == "" || err != nil {
			continue // the next watch's first line asks for it
		}
		if err := f.post(ctx, addr, raw); err != nil && ctx.Err() == nil {
			f.log.Debug().Err(err).Msg("report not taken")
			time.AfterFunc(firstAgain+rand.N(time.Second), f.again)
		}
	}
}

func (f *Follower) post(ctx context.Context, addr string, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/report", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := f.client.Do(q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, mostBody))
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("replica answered %s", response.Status)
	}
	return nil
}

// Look is what the node knows of its store, for whoever looks at it.
type View struct {
	Replica  string          `json:"replica"` // watched now; "": none
	Received map[Key]Version `json:"told"`
	Applied  map[Key]Version `json:"runs"`
	Refused  map[Key]Refusal `json:"refused,omitempty"`
}

// Look gives it.
func (f *Follower) View() *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &View{Replica: f.watching, Received: map[Key]Version{}, Applied: maps.Clone(f.report.Applied), Refused: maps.Clone(f.report.Refused)}
	for key, v := range f.held {
		l.Received[key] = v.Version
	}
	return l
}
