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
	// maxSilence is how long a watch may bring no line before it is ended. The replica sends an empty line every 2 s;
	// two missing ones, with some slack, count as a failure.
	maxSilence       = 2*keepAliveInterval + 200*time.Millisecond
	dialTimeout      = time.Second
	firstLineTimeout = 3 * time.Second // from the start of a watch, including the dial
	minRetryDelay    = 250 * time.Millisecond
	maxRetryDelay    = 2 * time.Second // between two watches; keeps changes in force everywhere within 8 s
	reportTimeout    = 2 * time.Second
	reportInterval   = 30 * time.Second // average interval of repeated reports, in case the replica lost one
	maxLineBytes     = 2 * maxPatchBytes
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Replicas    []string // addresses of all replicas; at least one
	Keys        []Key    // keys that apply to the node, in the order in which their patches are merged
	Node        string   // name of the node
	Incarnation string   // identifies the process, so that reports of an earlier one can be told apart
	Zone        int
	Seed        uint64 // of the random choice of replicas and delays
	LocalIP     net.IP // source address of connections; nil for any
}

// NodeKeys returns the keys that apply to a node: the one for all nodes, that of its service if it has one, and its
// own. The patch of a later key takes precedence over that of an earlier one.
func NodeKeys(service, node string) []Key {
	keys := []Key{"all"}
	if service != "" {
		keys = append(keys, Key("service/"+service))
	}
	return append(keys, Key("node/"+node))
}

// Follower is the node's client of the store. It watches one replica, switches to another when the watch fails, passes
// on newer values, and reports to the replica which versions the node has applied.
type Follower struct {
	options      FollowerOptions
	log          zerolog.Logger
	client       *http.Client
	rng          *rand.Rand
	replicaIndex int // of the replica that is watched, or tried next

	mu          sync.Mutex
	received    map[Key]*Value // the node may have applied fewer of them
	report      Report
	reportDue   chan struct{} // capacity 1; signals that a report has to be sent
	watchedAddr string        // "" while no replica is watched
}

// NewFollower returns a Follower that starts at a random replica. It does nothing until Run is called.
func NewFollower(options FollowerOptions, log zerolog.Logger) *Follower {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if options.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: options.LocalIP}
	}
	f := &Follower{
		options:   options,
		log:       log,
		received:  map[Key]*Value{},
		reportDue: make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(options.Seed, 0x57a7e)),
		client:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
		report: Report{
			Node:        options.Node,
			Incarnation: options.Incarnation,
			Zone:        options.Zone,
			Keys:        options.Keys,
			Applied:     map[Key]Version{},
		},
	}
	f.replicaIndex = f.rng.IntN(max(1, len(options.Replicas)))
	return f
}

// Run watches the store until ctx is done. It calls notify with all received values, in the order of the keys,
// whenever one of them is newer. Notify must return quickly, because the watch reads nothing meanwhile.
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
		// When a replica is lost, all its nodes would move to the other two at the same moment. A random replica and a
		// random delay, which doubles while no replica is reachable, spread them out.
		f.replicaIndex = (f.replicaIndex + 1 + f.rng.IntN(max(1, len(f.options.Replicas)-1))) % len(f.options.Replicas)
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay/2 + time.Duration(f.rng.Int64N(int64(retryDelay/2)+1))):
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// errSilent reports that a watch brought no line for too long.
var errSilent = errors.New("silent")

// watch follows the current replica until the connection fails or stays silent. It returns how many lines it read,
// keep-alives included, and why it ended.
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
		lines++
		if lines == 1 {
			f.setWatchedAddr(addr)
			f.requestReport()
		}
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
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

// storeIfNewer stores a value for one of the node's keys if it is newer, and reports whether it did. A replica may be
// behind the one watched before; without this check a node that switches replicas could return to an older version.
func (f *Follower) storeIfNewer(value *Value) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.options.Keys, value.Key) && MergeNewer(f.received, value)
}

// Values returns the newest values that the node has received, in the order of its keys.
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

// setWatchedAddr sets the address that reports are sent to.
func (f *Follower) setWatchedAddr(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchedAddr = addr
}

// requestReport makes sendReports send a report: either the watched replica or the set of applied versions is new, or
// the last report failed.
func (f *Follower) requestReport() {
	select {
	case f.reportDue <- struct{}{}:
	default:
	}
}

// ReportApplied sets the versions that the node has applied and those that it has refused, and sends them to the
// watched replica.
func (f *Follower) ReportApplied(applied map[Key]Version, refused map[Key]Refusal) {
	f.mu.Lock()
	f.report.Applied = maps.Clone(applied)
	f.report.Refused = maps.Clone(refused)
	f.report.Sequence++
	f.mu.Unlock()
	f.requestReport()
}

// sendReports sends the node's report to the watched replica: after each change of the report, after each switch to
// another replica, and from time to time.
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
			continue // the first line of the next watch requests it again
		}
		if err := f.postReport(ctx, addr, body); err != nil && ctx.Err() == nil {
			f.log.Debug().Err(err).Msg("report not taken")
			time.AfterFunc(minRetryDelay+rand.N(time.Second), f.requestReport)
		}
	}
}

// postReport sends an encoded report to the replica at addr.
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

// View describes a node's state with respect to the store, for operators.
type View struct {
	Replica  string          `json:"replica"` // address of the watched replica; "" for none
	Received map[Key]Version `json:"told"`
	Applied  map[Key]Version `json:"runs"`
	Refused  map[Key]Refusal `json:"refused,omitempty"`
}

// View returns the node's current state with respect to the store.
func (f *Follower) View() *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := &View{
		Replica:  f.watchedAddr,
		Received: map[Key]Version{},
		Applied:  maps.Clone(f.report.Applied),
		Refused:  maps.Clone(f.report.Refused),
	}
	for key, value := range f.received {
		view.Received[key] = value.Version
	}
	return view
}
