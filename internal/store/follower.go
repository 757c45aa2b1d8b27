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
	maxSilence       = 2*keepAliveInterval + 200*time.Millisecond
	dialTimeout      = time.Second
	firstLineTimeout = 3 * time.Second // for a watch's first line
	minRetryDelay    = 250 * time.Millisecond
	maxRetryDelay    = 2 * time.Second // between two tries: a change is in force everywhere within 8 s
	reportTimeout    = 2 * time.Second
	reportInterval   = 30 * time.Second // the same report, should the replica have lost it
	maxLineBytes     = 2 * maxPatchBytes
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
	options      FollowerOptions
	log          zerolog.Logger
	client       *http.Client
	rng          *rand.Rand
	replicaIndex int // the replica that is watched

	mu          sync.Mutex
	received    map[Key]*Value // as told; the node may run less
	report      Report
	reportDue   chan struct{} // holds one: there is something to report
	watchedAddr string        // address; "": none
}

// NewFollower makes the actor.
func NewFollower(options FollowerOptions, log zerolog.Logger) *Follower {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if options.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: options.LocalIP}
	}
	f := &Follower{options: options, log: log, received: map[Key]*Value{}, reportDue: make(chan struct{}, 1),
		rng:    rand.New(rand.NewPCG(options.Seed, 0x57a7e)),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
		report: Report{Node: options.Node, Incarnation: options.Incarnation, Zone: options.Zone, Keys: options.Keys, Applied: map[Key]Version{}}}
	f.replicaIndex = f.rng.IntN(max(1, len(options.Replicas)))
	return f
}

// Run follows until ctx is done. Tell gets all that is held, in the order of the keys, whenever something is newer; it must not wait
// for long.
func (f *Follower) Run(ctx context.Context, notify func([]*Value)) {
	var reporter sync.WaitGroup
	reporter.Go(func() { f.sendReports(ctx) })
	defer reporter.Wait()
	for retryDelay := minRetryDelay; ctx.Err() == nil; {
		lines, err := f.watch(ctx, notify)
		if ctx.Err() != nil {
			return
		}
		f.log.Warn().Err(err).Str("replica", f.options.Replicas[f.replicaIndex]).Msg("watch of the store ended")
		if lines > 0 {
			retryDelay = minRetryDelay
		}
		// Danger: all nodes of a lost replica come to the two others at once; they come at random, and ever later while none is there.
		f.replicaIndex = (f.replicaIndex + 1 + f.rng.IntN(max(1, len(f.options.Replicas)-1))) % len(f.options.Replicas)
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay/2 + time.Duration(f.rng.Int64N(int64(retryDelay/2)+1))):
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// errSilent says that a watch brought nothing for too long.
var errSilent = errors.New("silent")

func (f *Follower) watch(ctx context.Context, notify func([]*Value)) (lines int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(firstLineTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	f.mu.Lock()
	var versions []string
	for _, key := range f.options.Keys {
		version := Version(0)
		if value := f.received[key]; value != nil {
			version = value.Version
		}
		versions = append(versions, fmt.Sprintf("%s:%d", key, version))
	}
	f.mu.Unlock()
	addr := f.options.Replicas[f.replicaIndex]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/changes?held="+strings.Join(versions, ","), nil)
	if err != nil {
		return 0, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, errors.Join(err, context.Cause(ctx))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("replica answered %s", response.Status)
	}
	reader := bufio.NewReaderSize(response.Body, maxLineBytes)
	defer f.setWatchedAddr("")
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return lines, errors.Join(err, context.Cause(ctx))
		}
		silenceTimer.Reset(maxSilence)
		if lines++; lines == 1 {
			f.setWatchedAddr(addr)
			f.requestReport()
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		value := &Value{}
		if err := json.Unmarshal(line, value); err != nil {
			return lines, fmt.Errorf("broken line: %w", err)
		}
		if f.storeIfNewer(value) {
			notify(f.Values())
		}
	}
}

// take keeps a value that is newer. Danger: replicas may be behind each other, and a node that goes from one to the next must not go back.
func (f *Follower) storeIfNewer(value *Value) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.options.Keys, value.Key) && MergeNewer(f.received, value)
}

// Held is all that the node was told, in the order of its keys.
func (f *Follower) Values() (values []*Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range f.options.Keys {
		if value := f.received[key]; value != nil {
			values = append(values, value)
		}
	}
	return values
}

func (f *Follower) setWatchedAddr(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchedAddr = addr
}

// again says that the report has to be made anew: the replica is another one, or what runs is.
func (f *Follower) requestReport() {
	select {
	case f.reportDue <- struct{}{}:
	default:
	}
}

// Runs says what the node runs now, and what it refused.
func (f *Follower) ReportApplied(applied map[Key]Version, refused map[Key]Refusal) {
	f.mu.Lock()
	f.report.Applied, f.report.Refused = maps.Clone(applied), maps.Clone(refused)
	f.report.Sequence++
	f.mu.Unlock()
	f.requestReport()
}

// reports tells the replica that is watched what the node runs, once for each change of that, and now and then.
func (f *Follower) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reportDue:
		case <-time.After(reportInterval/2 + rand.N(reportInterval)):
		}
		f.mu.Lock()
		addr := f.watchedAddr
		body, err := json.Marshal(&f.report)
		f.mu.Unlock()
		if addr == "" || err != nil {
			continue // the next watch's first line asks for it
		}
		if err := f.postReport(ctx, addr, body); err != nil && ctx.Err() == nil {
			f.log.Debug().Err(err).Msg("report not taken")
			time.AfterFunc(minRetryDelay+rand.N(time.Second), f.requestReport)
		}
	}
}

func (f *Follower) postReport(ctx context.Context, addr string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/report", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
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
	view := &View{Replica: f.watchedAddr, Received: map[Key]Version{}, Applied: maps.Clone(f.report.Applied), Refused: maps.Clone(f.report.Refused)}
	for key, value := range f.received {
		view.Received[key] = value.Version
	}
	return view
}
