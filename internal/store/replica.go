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
	maxKeys           = 4096
	maxPatchBytes     = 64 << 10
	maxBodyBytes      = 256 << 10
	maxWatchers       = 4096
	maxReports        = 4096
	reportRetention   = time.Hour             // since a node's last report
	phaseTimeout      = time.Second           // for the replies of the other replicas to one request
	maxAttempts       = 6                     // rounds of one proposal before it fails for want of a majority
	syncInterval      = time.Second           // between two looks for missed values at other replicas
	keepAliveInterval = 2 * time.Second       // between the keep-alive lines of a watch
	writeTimeout      = 2 * time.Second       // for a watcher to read a line
	initialBackoff    = 20 * time.Millisecond // after a failed round; doubles each time, plus up to 100 % jitter
)

// ReplicaOptions configure a Replica.
type ReplicaOptions struct {
	Index    int      // of this replica in Replicas
	Replicas []string // addresses of all replicas including this one, in the same order everywhere
	Dir      string   // directory of the register files
	// Validate, if not nil, returns an error for a change that must not be proposed.
	Validate func(*Change) error
	// Dial opens a connection to another replica. Nil uses the default dialer of net/http.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// keyFile is the state of a key as it is stored on disk.
type keyFile struct {
	Key      Key      `json:"key"`
	Register Register `json:"register"`
	Chosen   *Value   `json:"chosen,omitempty"`
}

// Report states which versions a node has applied and which it has refused.
type Report struct {
	Node        string          `json:"node"`
	Sequence    uint64          `json:"number"` // increases with each change of the report
	Incarnation string          `json:"life"`   // identifies the node's process
	Zone        int             `json:"zone"`
	Keys        []Key           `json:"keys"`
	Applied     map[Key]Version `json:"runs"`
	Refused     map[Key]Refusal `json:"refused,omitempty"`
}

// Refusal is a version that a node has refused to apply, and the reason.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"why"`
}

// receivedReport is a report with the time at which it arrived.
type receivedReport struct {
	Report
	receivedAt time.Time
}

// Replica is one member of the store, usually on a machine reserved for control tasks. It takes part in the rounds of
// the other replicas, proposes the changes that operators request, and serves the watches and reports of nodes.
type Replica struct {
	options ReplicaOptions
	log     zerolog.Logger
	client  *http.Client

	mu          sync.Mutex // guards the fields below; also held while a register is written to disk
	registers   map[Key]*Register
	chosen      map[Key]*Value
	valueChosen chan struct{} // closed and replaced when a value is chosen
	watchers    int
	reports     map[string]*receivedReport
}

// NewReplica returns a replica with the registers found in its directory. An unreadable register file is an error: if it
// counted as empty, the replica could forget that it had accepted a chosen value.
func NewReplica(options ReplicaOptions, log zerolog.Logger) (*Replica, error) {
	r := &Replica{
		options:     options,
		log:         log,
		registers:   map[Key]*Register{},
		chosen:      map[Key]*Value{},
		valueChosen: make(chan struct{}),
		reports:     map[string]*receivedReport{},
	}
	r.client = &http.Client{
		Timeout: phaseTimeout,
		Transport: &http.Transport{
			DialContext:         options.Dial,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		},
	}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(options.Dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var stored keyFile
		if err := json.Unmarshal(raw, &stored); err != nil || stored.Key == "" {
			return nil, fmt.Errorf("%s: invalid register file: %v", path, err)
		}
		r.registers[stored.Key] = &stored.Register
		if stored.Chosen != nil {
			r.chosen[stored.Key] = stored.Chosen
		}
	}
	return r, nil
}

// save writes the state of a key to disk atomically. The caller holds the lock.
//
// The data is synced, because a promise that was sent and is then lost in a power failure would let an earlier ballot
// succeed.
func (r *Replica) save(key Key) error {
	raw, err := json.Marshal(keyFile{key, *r.registers[key], r.chosen[key]})
	if err != nil {
		return err
	}
	path := filepath.Join(r.options.Dir, fmt.Sprintf("%016x.json", xxhash.Sum64String(string(key))))
	file, err := os.CreateTemp(r.options.Dir, "new-")
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		os.Remove(file.Name())
		return err
	}
	if dir, err := os.Open(r.options.Dir); err == nil {
		dir.Sync()
		dir.Close()
	}
	return nil
}

// errTooManyKeys reports that the limit of stored keys or reports is reached.
var errTooManyKeys = errors.New("more keys than are kept")

// register returns the register of a key, and creates it if there is none. The caller holds the lock.
func (r *Replica) register(key Key) (*Register, error) {
	if register := r.registers[key]; register != nil {
		return register, nil
	}
	if len(r.registers) >= maxKeys {
		return nil, errTooManyKeys
	}
	register := &Register{}
	r.registers[key] = register
	return register, nil
}

// updateRegister applies an update to the register of a key and saves it before the reply is returned. If it can't be
// saved, the update is undone.
func (r *Replica) updateRegister(key Key, update func(*Register) Reply) (Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	register, err := r.register(key)
	if err != nil {
		return Reply{}, err
	}
	previous := *register
	reply := update(register)
	if register.Promised != previous.Promised || register.Accepted != previous.Accepted {
		if err := r.save(key); err != nil {
			*register = previous
			r.log.Error().Err(err).Str("key", string(key)).Msg("register not kept")
			return Reply{}, err
		}
	}
	return reply, nil
}

// learn stores a chosen value, if it is newer, and wakes the watches.
func (r *Replica) learn(value *Value) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.register(value.Key); err != nil || !MergeNewer(r.chosen, value) {
		return
	}
	if err := r.save(value.Key); err != nil {
		// The replica goes on: a majority has the value, and a sync after a restart brings it again.
		r.log.Error().Err(err).Str("key", string(value.Key)).Msg("chosen value not kept")
	}
	r.log.Info().Str("key", string(value.Key)).Uint64("version", uint64(value.Version)).Str("id", value.ID).Msg("change is chosen")
	close(r.valueChosen)
	r.valueChosen = make(chan struct{})
}

// errNoMajority reports that too few replicas replied. The change may still be chosen later.
var errNoMajority = errors.New("no majority of the replicas answers; the change may be in force or not: ask for it again under its id")

// Propose runs rounds until the change is chosen, turns out not to be applicable, or too many attempts have failed. The
// version is that of the change if it is or was chosen, and otherwise the current one. After an error the change may or
// may not be chosen; it can be proposed again under the same ID.
func (r *Replica) Propose(ctx context.Context, change *Change) (Verdict, Version, error) {
	for attempt := range maxAttempts {
		round, err := r.runRound(ctx, change)
		if err != nil {
			return "", 0, err
		}
		if round.phase == done {
			if round.value != nil {
				r.learn(round.value)
				r.broadcast("/chosen", round.value)
			}
			return round.verdict, round.version, nil
		}
		if round.phase != preempted && attempt >= 1 {
			return "", 0, errNoMajority
		}
		select {
		case <-ctx.Done():
			return "", 0, ctx.Err()
		case <-time.After(initialBackoff<<attempt + rand.N(initialBackoff<<attempt)):
		}
	}
	return "", 0, errNoMajority
}

// runRound runs one round with all replicas until it is decided or a phase times out.
func (r *Replica) runRound(ctx context.Context, change *Change) (*Round, error) {
	var ballot Ballot
	// A ballot must never be used twice, so the replica first promises it to itself, on disk, before it sends it.
	ownReply, err := r.updateRegister(change.Key, func(register *Register) Reply {
		ballot = Ballot{Round: register.Promised.Round + 1, Replica: r.options.Index}
		return register.Prepare(ballot)
	})
	if err != nil {
		return nil, err
	}
	round := NewRound(ballot, change, len(r.options.Replicas))
	round.HandlePrepareReply(r.options.Index, ownReply)
	r.runPhase(ctx, round, preparing, "prepare", message{Key: change.Key, Ballot: ballot}, round.HandlePrepareReply)
	// Adopting the highest round seen makes the next attempt start above it. Otherwise each attempt would be preempted
	// again. Replica -1 comes before every real ballot of that round, so none of them is rejected because of this.
	defer func() {
		if round.phase == preempted {
			r.updateRegister(change.Key, func(register *Register) Reply {
				return register.Prepare(Ballot{Round: round.highestBallot.Round, Replica: -1})
			})
		}
	}()
	if round.phase != accepting {
		return round, nil
	}
	ownReply, err = r.updateRegister(change.Key, func(register *Register) Reply {
		return register.Accept(ballot, round.value)
	})
	if err != nil {
		return nil, err
	}
	round.HandleAcceptReply(r.options.Index, ownReply)
	r.runPhase(ctx, round, accepting, "accept", message{Key: change.Key, Ballot: ballot, Value: round.value}, round.HandleAcceptReply)
	return round, nil
}

// message is a prepare or accept request. A prepare request has no value.
type message struct {
	Key    Key    `json:"key"`
	Ballot Ballot `json:"ballot"`
	Value  *Value `json:"value,omitempty"`
}

// runPhase sends a request to all other replicas concurrently and handles their replies as they arrive, until the round
// leaves the current phase or the phase times out.
func (r *Replica) runPhase(ctx context.Context, round *Round, current phase, endpoint string, request message,
	handleReply func(int, Reply)) {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	type answer struct {
		from int
		Reply
		err error
	}
	answers := make(chan answer, len(r.options.Replicas))
	pending := 0
	for i, addr := range r.options.Replicas {
		if i == r.options.Index {
			continue
		}
		pending++
		go func() {
			received := answer{from: i}
			received.err = r.post(ctx, addr, "/"+endpoint, request, &received.Reply)
			answers <- received
		}()
	}
	for ; pending > 0 && round.phase == current; pending-- {
		select {
		case received := <-answers:
			if received.err == nil {
				handleReply(received.from, received.Reply)
			}
		case <-ctx.Done():
			return
		}
	}
}

// post sends a JSON document to another replica and decodes its answer into out, unless that is nil.
func (r *Replica) post(ctx context.Context, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
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
	return json.NewDecoder(io.LimitReader(response.Body, maxKeys*maxPatchBytes)).Decode(out)
}

// broadcast sends a document to all other replicas without waiting for them. A lost one does no lasting harm: a chosen
// value is found by sync, and a report is repeated.
func (r *Replica) broadcast(path string, body any) {
	for i, addr := range r.options.Replicas {
		if i != r.options.Index {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), phaseTimeout)
				defer cancel()
				r.post(ctx, addr, path, body, nil)
			}()
		}
	}
}

// chosenVersions returns the version of each chosen value that the replica knows.
func (r *Replica) chosenVersions() map[Key]Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[Key]Version, len(r.chosen))
	for key, value := range r.chosen {
		versions[key] = value.Version
	}
	return versions
}

// digest returns a hash by which two replicas find out whether they know the same versions.
func digest(versions map[Key]Version) uint64 {
	hash := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(versions)) {
		fmt.Fprintf(hash, "%s %d\n", key, versions[key])
	}
	return hash.Sum64()
}

// syncRequest asks another replica for newer values. The versions are sent only after the digests have turned out to
// differ.
type syncRequest struct {
	Digest   uint64          `json:"digest,string"`
	Versions map[Key]Version `json:"held,omitempty"`
}

// Run asks the other replicas in turn for chosen values that this one has missed, until ctx is done.
func (r *Replica) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
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
		versions := r.chosenVersions()
		var newer []*Value
		requestCtx, cancel := context.WithTimeout(ctx, phaseTimeout)
		err := r.post(requestCtx, r.options.Replicas[peer], "/sync", syncRequest{Digest: digest(versions)}, &newer)
		if err == nil && newer == nil { // null: the digests differ
			err = r.post(requestCtx, r.options.Replicas[peer], "/sync", syncRequest{Versions: versions, Digest: digest(versions)}, &newer)
		}
		cancel()
		if err == nil {
			for _, value := range newer {
				r.learn(value)
			}
		}
		r.expireReports()
	}
}

// expireReports removes the reports of nodes that have sent none for reportRetention.
func (r *Replica) expireReports() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.reports, func(_ string, report *receivedReport) bool {
		return time.Since(report.receivedAt) > reportRetention
	})
}

// ServeHTTP handles the requests of other replicas, of nodes and of operators.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	request.Body = http.MaxBytesReader(w, request.Body, maxBodyBytes)
	switch request.Method + " " + request.URL.Path {
	case "GET /changes":
		r.serveWatch(w, request)
	case "GET /state":
		writeJSON(w, r.State())
	case "POST /prepare", "POST /accept":
		handleJSON(w, request, func(prepareOrAccept *message) (any, error) {
			return r.updateRegister(prepareOrAccept.Key, func(register *Register) Reply {
				if request.URL.Path == "/prepare" {
					return register.Prepare(prepareOrAccept.Ballot)
				}
				return register.Accept(prepareOrAccept.Ballot, prepareOrAccept.Value)
			})
		})
	case "POST /chosen":
		handleJSON(w, request, func(value *Value) (any, error) {
			r.learn(value)
			return struct{}{}, nil
		})
	case "POST /sync":
		handleJSON(w, request, func(known *syncRequest) (any, error) { return r.valuesNewerThan(known), nil })
	case "POST /report", "POST /reported":
		handleJSON(w, request, func(report *Report) (any, error) {
			err := r.recordReport(report)
			if err == nil && request.URL.Path == "/report" {
				// Otherwise the reports of its nodes would be lost with this replica, and none of them would seem to lag.
				r.broadcast("/reported", report)
			}
			return struct{}{}, err
		})
	case "POST /change":
		r.serveChange(w, request)
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

// writeJSON writes a value as the JSON body of a response.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// handleJSON decodes the request's body, calls the handler and writes its result or error.
func handleJSON[T any](w http.ResponseWriter, request *http.Request, handler func(*T) (any, error)) {
	document := new(T)
	if err := json.NewDecoder(request.Body).Decode(document); err != nil {
		http.Error(w, "not understood: "+err.Error(), http.StatusBadRequest)
		return
	}
	result, err := handler(document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, result)
}

// valuesNewerThan returns the chosen values that the requesting replica does not know. It returns nil, which is sent as
// null, if the digests differ and the request carries no versions: the other replica then has to send them.
func (r *Replica) valuesNewerThan(known *syncRequest) []*Value {
	values := []*Value{}
	if known.Digest == digest(r.chosenVersions()) {
		return values
	}
	if known.Versions == nil && known.Digest != digest(nil) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(r.chosen)) {
		if value := r.chosen[key]; value.Version > known.Versions[key] {
			values = append(values, value)
		}
	}
	return values
}

// ChangeResponse is the response to a change request.
type ChangeResponse struct {
	Verdict Verdict `json:"verdict,omitempty"`
	Version Version `json:"version"`
	Reason  string  `json:"why,omitempty"`
}

// serveChange handles an operator's change request. The status is 200 if the change is chosen, 409 if it conflicts with
// the current version or there is nothing to roll back, 400 if it is invalid and 503 if no majority replies.
func (r *Replica) serveChange(w http.ResponseWriter, request *http.Request) {
	var change Change
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	refuse := func(status int, response ChangeResponse) {
		w.WriteHeader(status)
		writeJSON(w, response)
	}
	if err := decoder.Decode(&change); err != nil {
		refuse(http.StatusBadRequest, ChangeResponse{Reason: "not understood: " + err.Error()})
		return
	}
	if err := change.validate(); err != nil {
		refuse(http.StatusBadRequest, ChangeResponse{Reason: err.Error()})
		return
	}
	if r.options.Validate != nil && !change.Rollback {
		if err := r.options.Validate(&change); err != nil {
			refuse(http.StatusBadRequest, ChangeResponse{Reason: err.Error()})
			return
		}
	}
	verdict, version, err := r.Propose(request.Context(), &change)
	switch {
	case err != nil:
		refuse(http.StatusServiceUnavailable, ChangeResponse{Reason: err.Error()})
	case verdict == Conflict || verdict == NothingToRollBack:
		refuse(http.StatusConflict, ChangeResponse{Verdict: verdict, Version: version})
	default:
		writeJSON(w, ChangeResponse{Verdict: verdict, Version: version})
	}
}

// validate checks the form of a change: its key, its ID, and that it has either a patch or asks for a rollback.
func (c *Change) validate() error {
	kind, name, _ := strings.Cut(string(c.Key), "/")
	switch {
	case c.Key != "all" && (kind != "service" && kind != "node" || name == "" || strings.ContainsAny(name, "/:, ")):
		return fmt.Errorf("key %q is none of all, service/NAME, node/NAME", c.Key)
	case c.ID == "" || len(c.ID) > 64:
		return errors.New("the change has no id, or one of over 64 bytes")
	case len(c.Patch) > maxPatchBytes:
		return fmt.Errorf("the patch has %d bytes, over %d", len(c.Patch), maxPatchBytes)
	case c.Rollback == (len(c.Patch) > 0):
		return errors.New("a change has a patch, or goes back")
	}
	return nil
}

// recordReport stores a node's report unless a later one of the same process is known.
func (r *Replica) recordReport(report *Report) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Node == "" || len(report.Applied)+len(report.Refused)+len(report.Keys) > 16 {
		return errors.New("no report")
	}
	if len(r.reports) >= maxReports && r.reports[report.Node] == nil {
		return errTooManyKeys
	}
	if previous := r.reports[report.Node]; previous != nil && previous.Incarnation == report.Incarnation && previous.Sequence > report.Sequence {
		return nil // delayed, by way of another replica
	}
	r.reports[report.Node] = &receivedReport{*report, time.Now()}
	return nil
}

// serveWatch streams to a node the values newer than the versions in its query, then each newer value as it is chosen.
// Each line is a value or, as a keep-alive, empty. The first line is sent at once.
func (r *Replica) serveWatch(w http.ResponseWriter, request *http.Request) {
	versions := map[Key]Version{}
	for pair := range strings.SplitSeq(request.URL.Query().Get("held"), ",") {
		key, version, _ := strings.Cut(pair, ":")
		number, err := strconv.ParseUint(version, 10, 64)
		if err != nil || len(versions) > 8 {
			http.Error(w, "held is no list of keys with their versions", http.StatusBadRequest)
			return
		}
		versions[Key(key)] = Version(number)
	}
	r.mu.Lock()
	tooMany := r.watchers >= maxWatchers
	r.watchers++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.watchers--
		r.mu.Unlock()
	}()
	if tooMany {
		http.Error(w, "too many watch", http.StatusServiceUnavailable)
		return
	}
	controller := http.NewResponseController(w)
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for first := true; ; first = false {
		r.mu.Lock()
		valueChosen := r.valueChosen
		var newer []*Value
		for key, version := range versions {
			if value := r.chosen[key]; value != nil && value.Version > version {
				newer = append(newer, value)
				versions[key] = value.Version
			}
		}
		r.mu.Unlock()
		slices.SortFunc(newer, func(a, b *Value) int { return strings.Compare(string(a.Key), string(b.Key)) })
		var output []byte
		for _, value := range newer {
			trimmed := *value
			trimmed.PreviousPatch = nil
			trimmed.History = nil
			line, err := json.Marshal(&trimmed)
			if err != nil {
				return
			}
			output = append(append(output, line...), '\n')
		}
		if first && len(output) == 0 {
			output = []byte("\n") // the node is up to date
		}
		for {
			if len(output) > 0 {
				// Without a deadline, a node that reads nothing would occupy its watch forever.
				controller.SetWriteDeadline(time.Now().Add(writeTimeout))
				if _, err := w.Write(output); err != nil || controller.Flush() != nil {
					return
				}
				output = nil
			}
			select {
			case <-request.Context().Done():
				return
			case <-valueChosen:
			case <-keepAlive.C:
				output = []byte("\n")
				continue
			}
			break
		}
	}
}

// ReplicaState describes what a replica knows, for operators.
type ReplicaState struct {
	Index    int          `json:"number"`
	Watchers int          `json:"watchers"`
	Values   []*Value     `json:"values"`
	Nodes    []NodeReport `json:"nodes"`
}

// NodeReport is a node's last report with its age in milliseconds.
type NodeReport struct {
	Report
	AgeMs float64 `json:"age_ms"`
}

// State returns the chosen values in the order of their keys and the reports in the order of the nodes' names.
func (r *Replica) State() *ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := &ReplicaState{Index: r.options.Index, Watchers: r.watchers, Values: []*Value{}, Nodes: []NodeReport{}}
	for _, key := range slices.Sorted(maps.Keys(r.chosen)) {
		state.Values = append(state.Values, r.chosen[key])
	}
	for _, node := range slices.Sorted(maps.Keys(r.reports)) {
		report := r.reports[node]
		state.Nodes = append(state.Nodes, NodeReport{report.Report, float64(time.Since(report.receivedAt).Microseconds()) / 1000})
	}
	return state
}
