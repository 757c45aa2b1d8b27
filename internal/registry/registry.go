// Package registry follows the list of servers: an actor that watches when the module asks.
package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

const (
	path = "/api/targets"
	// mostSilence ends a watch: while nothing changes an empty line comes every 2 s. Danger: a node that is cut
	// off from the registry counts as told of a change 6 s after it; one that waits out three lines could not
	// ask again in time.
	mostSilence = 2*2*time.Second + 200*time.Millisecond
	// hurry is how long a call may bring nothing before another is made beside it. Danger: a change counts as told 6 s after
	// the registry had it and could be reached, and a call that went out before that may never be answered. But the registry
	// works through calls in turn, for some seconds, and one that is given up has to queue anew; so it stays.
	hurry = 3 * time.Second
	// wholeWait ends the call for a whole list, beside a watch that can't be read.
	wholeWait = 4 * time.Second
	// mostWait is the longest from a call that fails to the next, both from their beginnings, whoever asks: half of those 6 s.
	mostWait  = 3 * time.Second
	dialWait  = time.Second
	longest   = 8 << 20 // of a line
	mostAgain = 8       // times Again
	// soon is the most that the first try waits after a watch that stood, in parts of Again. Danger: the whole fleet's
	// watches may end together, and without any wait all come back in one moment.
	soon = 4
)

var errSilent = errors.New("silent")

// Options say where the registry is and what its words mean.
type Options struct {
	Addr                string
	Zones, MachineTypes []string
	AutoWatch           bool          // changes come without the module asking, so the actor keeps the watch up by itself
	BaseRetryDelay      time.Duration // between two such watches, up to eight times as long while they fail
	DrainGrace          time.Duration // of drains, if told: half of it is the longest wait between two such watches
	Seed                uint64
}

// Registry is the actor. Known comes before Run.
type Client struct {
	options    Options
	log        zerolog.Logger
	names      *names
	generation uint64
	held       bool // a list is held: a watch asks only for what came after it
	silence    time.Duration
	hurry      time.Duration
	client     *http.Client
	unasked    atomic.Bool   // as the options say, or Unasked
	asked      chan struct{} // holds one: asking twice is asking once
	calling    atomic.Bool   // a call is out that has brought nothing yet
	called     time.Time     // the last call
	moved      chan string   // holds one: where the registry is now
	tell       func(*node.List)
	again      time.Duration // present wait where changes come unasked
	grace      atomic.Int64  // as the options say, or Unasked
	lines      int           // that the present watch has brought
	rng        *rand.Rand
}

// New makes the actor.
func New(options Options, part *sockets.Budget, log zerolog.Logger) *Client {
	dialer := &sockets.Dialer{Dialer: net.Dialer{Timeout: dialWait}, Budget: part}
	r := &Client{options: options, log: log, names: newNames(options.Zones, options.MachineTypes),
		asked: make(chan struct{}, 1), moved: make(chan string, 1), silence: mostSilence, hurry: hurry,
		rng: rand.New(rand.NewSource(int64(options.Seed))),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
					return dialer.Dial(ctx, network, addr)
				},
				// Danger: on a kept connection the library may send the call again by itself.
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
	r.unasked.Store(options.AutoWatch)
	r.grace.Store(int64(options.DrainGrace))
	r.again = r.first()
	return r
}

// Known reads the list that the node last had; it may be empty.
func (r *Client) LoadCached(raw []byte) (*node.List, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return &node.List{Form: policy.ListCached}, nil
	}
	list, generation, err := r.names.parse(raw)
	if err != nil {
		return nil, fmt.Errorf("config: key known: %w", err)
	}
	r.generation, r.held = generation, true
	list.Form = policy.ListCached
	return list, nil
}

// first is the wait before the first try after a watch that stood.
func (r *Client) first() time.Duration { return r.options.BaseRetryDelay / soon }

// most is the longest wait between two tries. Danger: a registry that is back is to be heard in time; where changes come
// unasked they count as told whether or not the node listens, and one that comes back late would push to servers past the
// grace of their drain.
func (r *Client) most() time.Duration {
	most := min(mostAgain*r.options.BaseRetryDelay, mostWait)
	if grace := time.Duration(r.grace.Load()); grace > 0 && r.unasked.Load() {
		most = min(most, grace/2)
	}
	return max(most, r.first())
}

// Unasked says whether changes come without the module asking from now on, and the grace of drains.
func (r *Client) SetAutoWatch(is bool, grace time.Duration) {
	r.grace.Store(int64(grace))
	if r.unasked.Swap(is) != is && is {
		r.Watch()
	}
}

// Zone is a zone's number, as lists have it.
func (r *Client) ZoneID(word string) policy.ZoneID { return policy.ZoneID(r.names.zone(word)) }

// Watch asks for changes from now on. It does not wait. Danger: a call that has not been answered yet has its turn at the
// registry; asking again must not make it lose that, and its answer or its failure is told in any case.
func (r *Client) Watch() {
	if r.calling.Load() {
		return
	}
	select {
	case r.asked <- struct{}{}:
	default:
	}
}

// Move says that the registry is at another address from now on. It does not wait; only one goroutine calls it.
func (r *Client) SetAddr(addr string) {
	select {
	case <-r.moved: // an older one that nobody has taken yet
	default:
	}
	r.moved <- addr
}

// Run follows the list until ctx is done, and tells what the registry says. Asking while a watch stands ends that
// one and begins another, and so does a move: the new address is asked at once, from the generation held, and the
// end of the watch at the old one is no failure.
func (r *Client) Run(ctx context.Context, tell func(*node.List)) {
	r.tell = tell
	ended := make(chan struct{})
	close(ended)
	cancel := context.CancelFunc(func() {})
	if r.unasked.Load() {
		r.Watch()
	}
	for {
		select {
		case <-ctx.Done():
			cancel()
			<-ended
			return
		case <-r.asked:
			cancel()
			<-ended
		case addr := <-r.moved:
			cancel()
			<-ended
			r.options.Addr, r.again = addr, r.first()
			r.log.Info().Str("addr", addr).Msg("registry moved")
		}
		var watching context.Context
		watching, cancel = context.WithCancel(ctx)
		ended = make(chan struct{})
		go func(done chan struct{}) {
			defer close(done)
			r.follow(watching)
		}(ended)
	}
}

// follow holds one watch. Unless it was replaced, its end is told.
func (r *Client) follow(ctx context.Context) {
	err := r.watch(ctx)
	// Danger: what a silent watch misses counts as told soon after; the wait that spares a registry that is down would
	// use that time up. So a watch that stood and fell silent is opened anew by itself: the first time, and again if it has
	// brought more than its first line since.
	for least := 1; errors.Is(err, errSilent) && r.lines >= least && ctx.Err() == nil; least = 2 {
		r.log.Warn().Uint64("generation", r.generation).Msg("watch of the list is silent, opened anew")
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.rng.Int63n(int64(r.first()) + 1))):
			err = r.watch(ctx)
		}
	}
	if ctx.Err() != nil {
		return
	}
	r.log.Warn().Err(err).Uint64("generation", r.generation).Msg("watch of the list ended")
	r.tell(&node.List{Form: policy.ListFailed})
	// Danger: the whole fleet may lose a small registry together; it comes back at random, and ever later. Where the module
	// asks, it has a plan of its own, which may be later than a change counts as told: the actor steps in before that.
	r.again = min(r.again, r.most()) // the settings may have changed
	most := r.again
	if !r.unasked.Load() {
		most = r.most()
	}
	// A call that took its time to fail has waited already.
	wait := max(r.draw(most)-time.Since(r.called), r.draw(r.first()))
	r.again = min(2*r.again, r.most())
	select {
	case <-ctx.Done():
	case <-time.After(wait):
		r.Watch()
	}
}

// draw is a time of at least half of most, at random.
func (r *Client) draw(most time.Duration) time.Duration {
	return most/2 + time.Duration(r.rng.Int63n(int64(most)/2+1))
}

// stream is a watch that has brought its first line.
type stream struct {
	body  io.Closer
	lines *bufio.Reader
	first []byte
	end   context.CancelFunc
}

// open makes a call, and another beside it for as long as nothing comes, two at the most; the first that brings a line is the
// watch. Silence of all is told as a failure, and the calls go on.
func (r *Client) open(ctx context.Context, query string) (*stream, error) {
	r.calling.Store(true)
	defer r.calling.Store(false)
	type result struct {
		*stream
		err error
	}
	over, done := context.WithCancel(ctx)
	results := make(chan result)
	out := 0
	defer func() {
		done()
		for ; out > 0; out-- { // each ends with its context
			if late := <-results; late.stream != nil {
				late.close()
			}
		}
	}()
	call := func() {
		out++
		r.called = time.Now()
		go func() {
			s, err := r.firstLine(ctx, over, query)
			results <- result{s, err}
		}()
	}
	call()
	again := time.NewTicker(r.hurry)
	defer again.Stop()
	for {
		select {
		case got := <-results:
			out--
			switch {
			case got.err == nil:
				return got.stream, nil
			case errors.Is(got.err, errSilent) && ctx.Err() == nil:
				r.log.Warn().Err(got.err).Uint64("generation", r.generation).Msg("call for the list brings nothing")
				r.tell(&node.List{Form: policy.ListFailed})
				call()
				again.Reset(r.hurry)
			case out == 0:
				return nil, got.err
			}
		case <-again.C:
			if out < 2 {
				call()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// firstLine makes one call and waits for its first line. Over ends the wait, and no watch that stands.
func (r *Client) firstLine(ctx, over context.Context, query string) (*stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := func() { cancel(nil) }
	stop := context.AfterFunc(over, end)
	// Danger: a registry that is cut off says nothing, for ever.
	quiet := time.AfterFunc(2*r.hurry, func() { cancel(errSilent) })
	response, err := r.call(ctx, query)
	if err == nil {
		s := &stream{body: response.Body, lines: bufio.NewReader(response.Body), end: end}
		if s.first, err = readLine(s.lines); err == nil {
			if stop() && quiet.Stop() {
				return s, nil
			}
			err = errSilent // the wait ended just then
		}
		response.Body.Close()
	}
	err = errors.Join(err, context.Cause(ctx))
	stop()
	quiet.Stop()
	end()
	return nil, err
}

func (s *stream) close() {
	s.end()
	s.body.Close()
}

func (r *Client) watch(ctx context.Context) error {
	query := "?watch=1"
	if r.held {
		query = fmt.Sprintf("?watch=1&from=%d", r.generation)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.lines = 0
	s, err := r.open(ctx, query)
	if err != nil {
		return err
	}
	defer s.close()
	quiet := time.AfterFunc(r.silence, func() { cancel(errSilent) })
	defer quiet.Stop()
	part, line := object{}, s.first
	var covered *uint64 // changes up to here are in a whole list that was asked for on the way
	for told := false; ; told = true {
		if told {
			if line, err = readLine(s.lines); err != nil {
				return errors.Join(err, context.Cause(ctx)) // half a line is no line
			}
		}
		r.lines, r.again = r.lines+1, r.first()
		line, ends := part.add(line)
		if !ends {
			continue // Danger: an object that comes ever further and never ends tells nothing
		}
		quiet.Reset(r.silence)
		if len(line) == 0 {
			if !told {
				// Danger: the module asks again until it hears that it is subscribed, and each call is work for
				// a small service.
				r.tell(&node.List{Form: policy.ListChanges})
			}
			continue
		}
		list, generation, err := r.names.parse(line)
		if err != nil {
			r.log.Error().Err(err).Msg("broken line of the list; asking for the whole list")
			if list, generation, err = r.whole(ctx); err != nil {
				return err
			}
			if generation < r.generation {
				// Danger: the registry's answers may lag behind its watches. A list older than a change that was told would
				// bring a draining server back, and the change is never told again; the watch goes on from what is held.
				return fmt.Errorf("whole list of generation %d is older than what is held", generation)
			}
			quiet.Reset(r.silence)
			covered = &generation
		}
		if list.Form == policy.ListChanges && covered != nil && generation <= *covered {
			continue // older than the whole list
		}
		r.take(list, generation)
	}
}

func (r *Client) take(list *node.List, generation uint64) {
	r.generation, r.held = generation, true
	r.log.Info().Uint64("generation", generation).Int("entries", len(list.Entries)).
		Bool("whole", list.Form == policy.ListFull).Msg("list")
	r.tell(list)
}

// whole asks for the whole list once.
func (r *Client) whole(ctx context.Context) (*node.List, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeWait)
	defer cancel()
	r.called = time.Now()
	response, err := r.call(ctx, "")
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, longest))
	if err != nil {
		return nil, 0, err
	}
	list, generation, err := r.names.parse(raw)
	if err != nil {
		return nil, 0, fmt.Errorf("whole list: %w", err)
	}
	list.Form = policy.ListFull
	return list, generation, nil
}

func (r *Client) call(ctx context.Context, query string) (*http.Response, error) {
	r.log.Debug().Str("query", query).Msg("call")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.options.Addr+path+query, nil)
	if err != nil {
		return nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("registry answered %s", response.Status)
	}
	return response, nil
}

// object is one that may come indented, over several lines. Danger: each of them taken for a broken line would be a call for
// the whole list, at every node.
type object struct{ soFar []byte }

// add takes a line and gives what ends with it: an object, what can't become one, or an empty line alone. An object ends with a
// brace; trying it at every line would be work by the square of a list.
func (o *object) add(line []byte) (whole []byte, ends bool) {
	first := len(o.soFar) == 0
	o.soFar = append(o.soFar, line...)
	if len(line) > 0 && len(o.soFar) <= longest {
		if !first && line[len(line)-1] != '}' || unfinished(o.soFar) {
			return nil, false
		}
	}
	whole, o.soFar = o.soFar, nil
	return whole, true
}

// unfinished says that raw may be the beginning of an object.
func unfinished(raw []byte) bool {
	var any json.RawMessage
	return errors.Is(json.NewDecoder(bytes.NewReader(raw)).Decode(&any), io.ErrUnexpectedEOF)
}

// readLine reads up to the line's end and refuses one that has none in reach.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return bytes.TrimSpace(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > longest:
			return nil, errors.New("line is too long")
		}
	}
}
