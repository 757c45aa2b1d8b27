package store

import (
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
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	mostKeys     = 4096
	mostPatch    = 64 << 10
	mostBody     = 256 << 10
	mostWatchers = 4096
	mostReports  = 4096
	keepReport   = time.Hour             // of a node that is not watching any more
	phaseWait    = time.Second           // for a majority's answers
	attempts     = 6                     // to change a key, before it is told that there is no majority
	syncEvery    = time.Second           // a replica looks whether another has chosen what it missed
	emptyEvery   = 2 * time.Second       // a line on a watch while nothing changes
	writeWait    = 2 * time.Second       // for a watcher to take a line
	backoff      = 20 * time.Millisecond // after a round that was overtaken, and up to as much again, twice as long each time
)

// ReplicaOptions say who a replica is.
type ReplicaOptions struct {
	Index    int      // of this one among Peers
	Replicas []string // addresses of all, this one's among them, the same at each
	Dir      string   // where registers are kept
	// Check says what is wrong with a change before it is proposed; nil: nothing is looked at.
	Validate func(*Change) error
	// Dial opens a connection to another replica; nil: net's.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// kept is a key as it stands on disk.
type kept struct {
	Key      Key      `json:"key"`
	Register Register `json:"register"`
	Chosen   *Value   `json:"chosen,omitempty"`
}

// Report is what a node says that it runs.
type Report struct {
	Node        string          `json:"node"`
	Sequence    uint64          `json:"number"` // counts what a process has had to say
	Incarnation string          `json:"life"`   // of its process
	Zone        int             `json:"zone"`
	Keys        []Key           `json:"keys"`
	Applied     map[Key]Version `json:"runs"`
	Refused     map[Key]Refusal `json:"refused,omitempty"`
}

// Refusal is a version that a node has not taken over, and why.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"why"`
}

// reported is a report and when it came.
type reported struct {
	Report
	at time.Time
}

// Replica is the actor of one of the machines set aside for control.
type Replica struct {
	options ReplicaOptions
	log     zerolog.Logger
	client  *http.Client

	mu        sync.Mutex // guards what follows; held while a register goes to disk
	registers map[Key]*Register
	chosen    map[Key]*Value
	changed   chan struct{} // closed and made anew when something is chosen
	watchers  int
	reports   map[string]*reported
}

// NewReplica reads what the disk holds. Danger: a register that can't be read must not count as empty; it may have accepted what was
// chosen. So a faulty file is an error.
func NewReplica(o ReplicaOptions, log zerolog.Logger) (*Replica, error) {
	r := &Replica{options: o, log: log, registers: map[Key]*Register{}, chosen: map[Key]*Value{}, changed: make(chan struct{}), reports: map[string]*reported{}}
	r.client = &http.Client{Timeout: phaseWait, Transport: &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(o.Dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var k kept
		if err := json.Unmarshal(raw, &k); err != nil || k.Key == "" {
			return nil, fmt.Errorf("%s: no register: %v", path, err)
		}
		r.registers[k.Key] = &k.Register
		if k.Chosen != nil {
			r.chosen[k.Key] = k.Chosen
		}
	}
	return r, nil
}

// save puts a key on disk, whole or not at all. The lock is held.
//
// Danger: a promise that is told and then forgotten by a machine that loses its power lets an earlier ballot through.
func (r *Replica) save(key Key) error {
	raw, err := json.Marshal(kept{key, *r.registers[key], r.chosen[key]})
	if err != nil {
		return err
	}
	path := filepath.Join(r.options.Dir, fmt.Sprintf("%016x.json", xxhash.Sum64String(string(key))))
	f, err := os.CreateTemp(r.options.Dir, "new-")
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	if dir, err := os.Open(r.options.Dir); err == nil {
		dir.Sync()
		dir.Close()
	}
	return nil
}

var errFull = errors.New("more keys than are kept")

// register finds a key's, or makes room for a new one. The lock is held.
func (r *Replica) register(key Key) (*Register, error) {
	if of := r.registers[key]; of != nil {
		return of, nil
	}
	if len(r.registers) >= mostKeys {
		return nil, errFull
	}
	of := &Register{}
	r.registers[key] = of
	return of, nil
}

// change does something to a register, and keeps it before anybody hears of it. What can't be kept has not happened.
func (r *Replica) change(key Key, do func(*Register) Reply) (Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of, err := r.register(key)
	if err != nil {
		return Reply{}, err
	}
	before := *of
	p := do(of)
	if of.Promised != before.Promised || of.Accepted != before.Accepted {
		if err := r.save(key); err != nil {
			*of = before
			r.log.Error().Err(err).Str("key", string(key)).Msg("register not kept")
			return Reply{}, err
		}
	}
	return p, nil
}

// take takes over a chosen value and wakes those who watch.
func (r *Replica) take(v *Value) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.register(v.Key); err != nil || !MergeNewer(r.chosen, v) {
		return
	}
	if err := r.save(v.Key); err != nil {
		r.log.Error().Err(err).Str("key", string(v.Key)).Msg("chosen value not kept") // others have it; it comes again by sync
	}
	r.log.Info().Str("key", string(v.Key)).Uint64("version", uint64(v.Version)).Str("id", v.ID).Msg("change is chosen")
	close(r.changed)
	r.changed = make(chan struct{})
}

// errMajority says that too few replicas answered. The change may come in force all the same.
var errMajority = errors.New("no majority of the replicas answers; the change may be in force or not: ask for it again under its id")

// Propose brings a change in force, or says what stands in its way.
func (r *Replica) Propose(ctx context.Context, c *Change) (Verdict, Version, error) {
	for try := range attempts {
		round, err := r.round(ctx, c)
		if err != nil {
			return "", 0, err
		}
		if round.at == done {
			if round.value != nil {
				r.take(round.value)
				r.pass("/chosen", round.value)
			}
			return round.verdict, round.version, nil
		}
		if round.at != overtaken && try >= 1 {
			return "", 0, errMajority
		}
		select {
		case <-ctx.Done():
			return "", 0, ctx.Err()
		case <-time.After(backoff<<try + rand.N(backoff<<try)):
		}
	}
	return "", 0, errMajority
}

// round plays one round with all replicas, until it is over or a phase has had its time.
func (r *Replica) round(ctx context.Context, c *Change) (*Round, error) {
	var b Ballot
	// Danger: a round's number is used once. The replica promises it to itself, on disk, before anybody else hears of it.
	own, err := r.change(c.Key, func(of *Register) Reply {
		b = Ballot{Round: of.Promised.Round + 1, Replica: r.options.Index}
		return of.Prepare(b)
	})
	if err != nil {
		return nil, err
	}
	round := NewRound(b, c, len(r.options.Replicas))
	round.HandlePrepareReply(r.options.Index, own)
	r.phase(ctx, round, preparing, "prepare", message{Key: c.Key, Ballot: b}, round.HandlePrepareReply)
	// Danger: a later ballot seen anywhere is this replica's next one, or it would be overtaken for ever.
	defer func() {
		if round.at == overtaken {
			r.change(c.Key, func(of *Register) Reply { return of.Prepare(Ballot{Round: round.latest.Round, Replica: -1}) })
		}
	}()
	if round.at != accepting {
		return round, nil
	}
	if own, err = r.change(c.Key, func(of *Register) Reply { return of.Accept(b, round.value) }); err != nil {
		return nil, err
	}
	round.HandleAcceptReply(r.options.Index, own)
	r.phase(ctx, round, accepting, "accept", message{Key: c.Key, Ballot: b, Value: round.value}, round.HandleAcceptReply)
	return round, nil
}

// message is what replicas send each other.
type message struct {
	Key    Key    `json:"key"`
	Ballot Ballot `json:"ballot"`
	Value  *Value `json:"value,omitempty"`
}

// phase asks the other replicas side by side, and takes their answers as they come.
func (r *Replica) phase(ctx context.Context, round *Round, while phase, what string, m message, take func(int, Reply)) {
	ctx, cancel := context.WithTimeout(ctx, phaseWait)
	defer cancel()
	type answer struct {
		from int
		Reply
		err error
	}
	answers := make(chan answer, len(r.options.Replicas))
	asked := 0
	for i, addr := range r.options.Replicas {
		if i == r.options.Index {
			continue
		}
		asked++
		go func() {
			a := answer{from: i}
			a.err = r.ask(ctx, addr, "/"+what, m, &a.Reply)
			answers <- a
		}()
	}
	for ; asked > 0 && round.at == while; asked-- {
		select {
		case a := <-answers:
			if a.err == nil {
				take(a.from, a.Reply)
			}
		case <-ctx.Done():
			return
		}
	}
}

// ask posts to another replica.
func (r *Replica) ask(ctx context.Context, addr, path string, in, out any) error {
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := r.client.Do(q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("replica at %s answered %s", addr, response.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, mostKeys*mostPatch)).Decode(out)
}

// pass tells the other replicas something, and waits for none of them: what is chosen and missed they find by sync, a report comes again.
func (r *Replica) pass(path string, what any) {
	for i, addr := range r.options.Replicas {
		if i != r.options.Index {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), phaseWait)
				defer cancel()
				r.ask(ctx, addr, path, what, nil)
			}()
		}
	}
}

// held are the versions of what is chosen here.
func (r *Replica) held() map[Key]Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[Key]Version, len(r.chosen))
	for key, v := range r.chosen {
		out[key] = v.Version
	}
	return out
}

// digest tells whether two replicas hold the same.
func digest(held map[Key]Version) uint64 {
	d := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(held)) {
		fmt.Fprintf(d, "%s %d\n", key, held[key])
	}
	return d.Sum64()
}

type synced struct {
	Digest uint64          `json:"digest,string"`
	Held   map[Key]Version `json:"held,omitempty"`
}

// Run looks at the other replicas in turn for what was missed, until ctx is done.
func (r *Replica) Run(ctx context.Context) {
	ticker := time.NewTicker(syncEvery)
	defer ticker.Stop()
	for turn := r.options.Index; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		peer := turn % len(r.options.Replicas)
		if peer == r.options.Index {
			continue
		}
		held := r.held()
		var more []*Value
		asked, cancel := context.WithTimeout(ctx, phaseWait)
		err := r.ask(asked, r.options.Replicas[peer], "/sync", synced{Digest: digest(held)}, &more)
		if err == nil && more == nil { // it holds something else
			err = r.ask(asked, r.options.Replicas[peer], "/sync", synced{Held: held, Digest: digest(held)}, &more)
		}
		cancel()
		if err == nil {
			for _, v := range more {
				r.take(v)
			}
		}
		r.forget()
	}
}

// forget lets reports go of nodes that have not been heard for long.
func (r *Replica) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.reports, func(_ string, p *reported) bool { return time.Since(p.at) > keepReport })
}

// ServeHTTP is the replica's side of all calls: of replicas, of nodes and of operators.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	q.Body = http.MaxBytesReader(w, q.Body, mostBody)
	switch q.Method + " " + q.URL.Path {
	case "GET /changes":
		r.watch(w, q)
	case "GET /state":
		write(w, r.State())
	case "POST /prepare", "POST /accept":
		handle(w, q, func(m *message) (any, error) {
			return r.change(m.Key, func(of *Register) Reply {
				if q.URL.Path == "/prepare" {
					return of.Prepare(m.Ballot)
				}
				return of.Accept(m.Ballot, m.Value)
			})
		})
	case "POST /chosen":
		handle(w, q, func(v *Value) (any, error) { r.take(v); return struct{}{}, nil })
	case "POST /sync":
		handle(w, q, func(s *synced) (any, error) { return r.missing(s), nil })
	case "POST /report", "POST /reported":
		handle(w, q, func(p *Report) (any, error) {
			err := r.heard(p)
			if err == nil && q.URL.Path == "/report" {
				r.pass("/reported", p) // Danger: with a replica, what its nodes run would be lost, and none would seem to lag
			}
			return struct{}{}, err
		})
	case "POST /change":
		r.asked(w, q)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// handle reads a call's document and writes its answer.
func handle[T any](w http.ResponseWriter, q *http.Request, do func(*T) (any, error)) {
	in := new(T)
	if err := json.NewDecoder(q.Body).Decode(in); err != nil {
		http.Error(w, "not understood: "+err.Error(), http.StatusBadRequest)
		return
	}
	out, err := do(in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	write(w, out)
}

// missing gives what the other does not hold; null where it has to say what it holds.
func (r *Replica) missing(s *synced) []*Value {
	out := []*Value{}
	if s.Digest == digest(r.held()) {
		return out
	}
	if s.Held == nil && s.Digest != digest(nil) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(r.chosen)) {
		if v := r.chosen[key]; v.Version > s.Held[key] {
			out = append(out, v)
		}
	}
	return out
}

// Answer is what an operator is told of a change.
type ChangeResponse struct {
	Verdict Verdict `json:"verdict,omitempty"`
	Version Version `json:"version"`
	Reason  string  `json:"why,omitempty"`
}

// asked is a change that an operator asks for: 200 where it is in force, 409 where another version stands, 400 where it is faulty, 503 without
// a majority.
func (r *Replica) asked(w http.ResponseWriter, q *http.Request) {
	var c Change
	decoder := json.NewDecoder(q.Body)
	decoder.DisallowUnknownFields()
	refuse := func(status int, a ChangeResponse) {
		w.WriteHeader(status)
		write(w, a)
	}
	if err := decoder.Decode(&c); err != nil {
		refuse(http.StatusBadRequest, ChangeResponse{Reason: "not understood: " + err.Error()})
		return
	}
	if err := c.check(); err != nil {
		refuse(http.StatusBadRequest, ChangeResponse{Reason: err.Error()})
		return
	}
	if r.options.Validate != nil && !c.Rollback {
		if err := r.options.Validate(&c); err != nil {
			refuse(http.StatusBadRequest, ChangeResponse{Reason: err.Error()})
			return
		}
	}
	verdict, version, err := r.Propose(q.Context(), &c)
	switch {
	case err != nil:
		refuse(http.StatusServiceUnavailable, ChangeResponse{Reason: err.Error()})
	case verdict == Conflict || verdict == NothingToRollBack:
		refuse(http.StatusConflict, ChangeResponse{Verdict: verdict, Version: version})
	default:
		write(w, ChangeResponse{Verdict: verdict, Version: version})
	}
}

// check refuses what no node could be meant by.
func (c *Change) check() error {
	kind, name, _ := strings.Cut(string(c.Key), "/")
	switch {
	case c.Key != "all" && (kind != "service" && kind != "node" || name == "" || strings.ContainsAny(name, "/:, ")):
		return fmt.Errorf("key %q is none of all, service/NAME, node/NAME", c.Key)
	case c.ID == "" || len(c.ID) > 64:
		return errors.New("the change has no id, or one of over 64 bytes")
	case len(c.Patch) > mostPatch:
		return fmt.Errorf("the patch has %d bytes, over %d", len(c.Patch), mostPatch)
	case c.Rollback == (len(c.Patch) > 0):
		return errors.New("a change has a patch, or goes back")
	}
	return nil
}

// heard takes a node's report.
func (r *Replica) heard(p *Report) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Node == "" || len(p.Applied)+len(p.Refused)+len(p.Keys) > 16 {
		return errors.New("no report")
	}
	if len(r.reports) >= mostReports && r.reports[p.Node] == nil {
		return errFull
	}
	if was := r.reports[p.Node]; was != nil && was.Incarnation == p.Incarnation && was.Sequence > p.Sequence {
		return nil // it comes by another replica, and late
	}
	r.reports[p.Node] = &reported{*p, time.Now()}
	return nil
}

// watch tells a node what is newer than what it holds, and then each change as it is chosen.
func (r *Replica) watch(w http.ResponseWriter, q *http.Request) {
	held := map[Key]Version{}
	for pair := range strings.SplitSeq(q.URL.Query().Get("held"), ",") {
		key, version, _ := strings.Cut(pair, ":")
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil || len(held) > 8 {
			http.Error(w, "held is no list of keys with their versions", http.StatusBadRequest)
			return
		}
		held[Key(key)] = Version(n)
	}
	r.mu.Lock()
	full := r.watchers >= mostWatchers
	r.watchers++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.watchers--
		r.mu.Unlock()
	}()
	if full {
		http.Error(w, "too many watch", http.StatusServiceUnavailable)
		return
	}
	control := http.NewResponseController(w)
	empty := time.NewTicker(emptyEvery)
	defer empty.Stop()
	for first := true; ; first = false {
		r.mu.Lock()
		changed := r.changed
		var news []*Value
		for key, version := range held {
			if v := r.chosen[key]; v != nil && v.Version > version {
				news = append(news, v)
				held[key] = v.Version
			}
		}
		r.mu.Unlock()
		slices.SortFunc(news, func(a, b *Value) int { return strings.Compare(string(a.Key), string(b.Key)) })
		var out []byte
		for _, v := range news {
			slim := *v
			slim.PreviousPatch, slim.History = nil, nil
			line, err := json.Marshal(&slim)
			if err != nil {
				return
			}
			out = append(append(out, line...), '\n')
		}
		if first && len(out) == 0 {
			out = []byte("\n") // it is up to date
		}
		for {
			if len(out) > 0 {
				control.SetWriteDeadline(time.Now().Add(writeWait)) // Danger: a node that takes nothing would be held for ever
				if _, err := w.Write(out); err != nil || control.Flush() != nil {
					return
				}
				out = nil
			}
			select {
			case <-q.Context().Done():
				return
			case <-changed:
			case <-empty.C:
				out = []byte("\n")
				continue
			}
			break
		}
	}
}

// State is what a replica knows, for operators.
type ReplicaState struct {
	Index    int          `json:"number"`
	Watchers int          `json:"watchers"`
	Values   []*Value     `json:"values"`
	Nodes    []NodeReport `json:"nodes"`
}

// NodeReport is a node's last report and how old it is.
type NodeReport struct {
	Report
	AgeMs float64 `json:"age_ms"`
}

// State gives what the replica knows now, by key and by node.
func (r *Replica) State() *ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &ReplicaState{Index: r.options.Index, Watchers: r.watchers, Values: []*Value{}, Nodes: []NodeReport{}}
	for _, key := range slices.Sorted(maps.Keys(r.chosen)) {
		s.Values = append(s.Values, r.chosen[key])
	}
	for _, node := range slices.Sorted(maps.Keys(r.reports)) {
		p := r.reports[node]
		s.Nodes = append(s.Nodes, NodeReport{p.Report, float64(time.Since(p.at).Microseconds()) / 1000})
	}
	return s
}
