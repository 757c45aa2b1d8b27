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
	targetsPath = "/api/targets"
	// mostSilence ends a watch: while nothing changes an empty line comes every 2 s. Danger: a node that is cut
	// off from the registry counts as told of a change 6 s after it; one that waits out three lines could not
	// ask again in time.
	maxSilence = 2*2*time.Second + 200*time.Millisecond
	// hurry is how long a call may bring nothing before another is made beside it. Danger: a change counts as told 6 s after
	// the registry had it and could be reached, and a call that went out before that may never be answered. But the registry
	// works through calls in turn, for some seconds, and one that is given up has to queue anew; so it stays.
	hedgeDelay = 3 * time.Second
	// wholeWait ends the call for a whole list, beside a watch that can't be read.
	fullListTimeout = 4 * time.Second
	// mostWait is the longest from a call that fails to the next, both from their beginnings, whoever asks: half of those 6 s.
	maxRetryDelay    = 3 * time.Second
	dialTimeout      = time.Second
	maxLineBytes     = 8 << 20 // of a line
	maxBackoffFactor = 8       // times Again
	// soon is the most that the first try waits after a watch that stood, in parts of Again. Danger: the whole fleet's
	// watches may end together, and without any wait all come back in one moment.
	firstRetryDivisor = 4
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
	options       Options
	log           zerolog.Logger
	ids           *idAllocator
	generation    uint64
	hasList       bool // a list is held: a watch asks only for what came after it
	maxSilence    time.Duration
	hedgeDelay    time.Duration
	httpClient    *http.Client
	autoWatch     atomic.Bool   // as the options say, or Unasked
	watchRequests chan struct{} // holds one: asking twice is asking once
	callPending   atomic.Bool   // a call is out that has brought nothing yet
	lastCall      time.Time     // the last call
	newAddrs      chan string   // holds one: where the registry is now
	notify        func(*node.List)
	retryDelay    time.Duration // present wait where changes come unasked
	drainGrace    atomic.Int64  // as the options say, or Unasked
	lineCount     int           // that the present watch has brought
	rng           *rand.Rand
}

// New makes the actor.
func New(options Options, part *sockets.Part, log zerolog.Logger) *Client {
	dialer := &sockets.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}, Part: part}
	c := &Client{options: options, log: log, ids: newIDAllocator(options.Zones, options.MachineTypes),
		watchRequests: make(chan struct{}, 1), newAddrs: make(chan string, 1), maxSilence: maxSilence, hedgeDelay: hedgeDelay,
		rng: rand.New(rand.NewSource(int64(options.Seed))),
		httpClient: &http.Client{
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
	c.autoWatch.Store(options.AutoWatch)
	c.drainGrace.Store(int64(options.DrainGrace))
	c.retryDelay = c.firstRetryDelay()
	return c
}

// Known reads the list that the node last had; it may be empty.
func (c *Client) LoadCached(raw []byte) (*node.List, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return &node.List{Form: policy.ListCached}, nil
	}
	list, generation, err := c.ids.parseList(raw)
	if err != nil {
		return nil, fmt.Errorf("config: key known: %w", err)
	}
	c.generation, c.hasList = generation, true
	list.Form = policy.ListCached
	return list, nil
}

// first is the wait before the first try after a watch that stood.
func (c *Client) firstRetryDelay() time.Duration { return c.options.BaseRetryDelay / firstRetryDivisor }

// most is the longest wait between two tries. Danger: a registry that is back is to be heard in time; where changes come
// unasked they count as told whether or not the node listens, and one that comes back late would push to servers past the
// grace of their drain.
func (c *Client) retryDelayLimit() time.Duration {
	limit := min(maxBackoffFactor*c.options.BaseRetryDelay, maxRetryDelay)
	if grace := time.Duration(c.drainGrace.Load()); grace > 0 && c.autoWatch.Load() {
		limit = min(limit, grace/2)
	}
	return max(limit, c.firstRetryDelay())
}

// Unasked says whether changes come without the module asking from now on, and the grace of drains.
func (c *Client) SetAutoWatch(enabled bool, drainGrace time.Duration) {
	c.drainGrace.Store(int64(drainGrace))
	if c.autoWatch.Swap(enabled) != enabled && enabled {
		c.Watch()
	}
}

// Zone is a zone's number, as lists have it.
func (c *Client) ZoneID(name string) policy.ZoneID { return policy.ZoneID(c.ids.zoneIndex(name)) }

// Watch asks for changes from now on. It does not wait. Danger: a call that has not been answered yet has its turn at the
// registry; asking again must not make it lose that, and its answer or its failure is told in any case.
func (c *Client) Watch() {
	if c.callPending.Load() {
		return
	}
	select {
	case c.watchRequests <- struct{}{}:
	default:
	}
}

// Move says that the registry is at another address from now on. It does not wait; only one goroutine calls it.
func (c *Client) SetAddr(addr string) {
	select {
	case <-c.newAddrs: // an older one that nobody has taken yet
	default:
	}
	c.newAddrs <- addr
}

// Run follows the list until ctx is done, and tells what the registry says. Asking while a watch stands ends that
// one and begins another, and so does a move: the new address is asked at once, from the generation held, and the
// end of the watch at the old one is no failure.
func (c *Client) Run(ctx context.Context, notify func(*node.List)) {
	c.notify = notify
	ended := make(chan struct{})
	close(ended)
	cancel := context.CancelFunc(func() {})
	if c.autoWatch.Load() {
		c.Watch()
	}
	for {
		select {
		case <-ctx.Done():
			cancel()
			<-ended
			return
		case <-c.watchRequests:
			cancel()
			<-ended
		case addr := <-c.newAddrs:
			cancel()
			<-ended
			c.options.Addr, c.retryDelay = addr, c.firstRetryDelay()
			c.log.Info().Str("addr", addr).Msg("registry moved")
		}
		var watchCtx context.Context
		watchCtx, cancel = context.WithCancel(ctx)
		ended = make(chan struct{})
		go func(done chan struct{}) {
			defer close(done)
			c.runWatch(watchCtx)
		}(ended)
	}
}

// follow holds one watch. Unless it was replaced, its end is told.
func (c *Client) runWatch(ctx context.Context) {
	err := c.watch(ctx)
	// Danger: what a silent watch misses counts as told soon after; the wait that spares a registry that is down would
	// use that time up. So a watch that stood and fell silent is opened anew by itself: the first time, and again if it has
	// brought more than its first line since.
	for minLines := 1; errors.Is(err, errSilent) && c.lineCount >= minLines && ctx.Err() == nil; minLines = 2 {
		c.log.Warn().Uint64("generation", c.generation).Msg("watch of the list is silent, opened anew")
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.Int63n(int64(c.firstRetryDelay()) + 1))):
			err = c.watch(ctx)
		}
	}
	if ctx.Err() != nil {
		return
	}
	c.log.Warn().Err(err).Uint64("generation", c.generation).Msg("watch of the list ended")
	c.notify(&node.List{Form: policy.ListFailed})
	// Danger: the whole fleet may lose a small registry together; it comes back at random, and ever later. Where the module
	// asks, it has a plan of its own, which may be later than a change counts as told: the actor steps in before that.
	c.retryDelay = min(c.retryDelay, c.retryDelayLimit()) // the settings may have changed
	limit := c.retryDelay
	if !c.autoWatch.Load() {
		limit = c.retryDelayLimit()
	}
	// A call that took its time to fail has waited already.
	delay := max(c.randomDelay(limit)-time.Since(c.lastCall), c.randomDelay(c.firstRetryDelay()))
	c.retryDelay = min(2*c.retryDelay, c.retryDelayLimit())
	select {
	case <-ctx.Done():
	case <-time.After(delay):
		c.Watch()
	}
}

// draw is a time of at least half of most, at random.
func (c *Client) randomDelay(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(c.rng.Int63n(int64(limit)/2+1))
}

// stream is a watch that has brought its first line.
type watchStream struct {
	body      io.Closer
	reader    *bufio.Reader
	firstLine []byte
	cancel    context.CancelFunc
}

// open makes a call, and another beside it for as long as nothing comes, two at the most; the first that brings a line is the
// watch. Silence of all is told as a failure, and the calls go on.
func (c *Client) openWatch(ctx context.Context, query string) (*watchStream, error) {
	c.callPending.Store(true)
	defer c.callPending.Store(false)
	type callResult struct {
		*watchStream
		err error
	}
	waitCtx, endWait := context.WithCancel(ctx)
	results := make(chan callResult)
	pending := 0
	defer func() {
		endWait()
		for ; pending > 0; pending-- { // each ends with its context
			if late := <-results; late.watchStream != nil {
				late.close()
			}
		}
	}()
	startCall := func() {
		pending++
		c.lastCall = time.Now()
		go func() {
			stream, err := c.openStream(ctx, waitCtx, query)
			results <- callResult{stream, err}
		}()
	}
	startCall()
	hedgeTicker := time.NewTicker(c.hedgeDelay)
	defer hedgeTicker.Stop()
	for {
		select {
		case result := <-results:
			pending--
			switch {
			case result.err == nil:
				return result.watchStream, nil
			case errors.Is(result.err, errSilent) && ctx.Err() == nil:
				c.log.Warn().Err(result.err).Uint64("generation", c.generation).Msg("call for the list brings nothing")
				c.notify(&node.List{Form: policy.ListFailed})
				startCall()
				hedgeTicker.Reset(c.hedgeDelay)
			case pending == 0:
				return nil, result.err
			}
		case <-hedgeTicker.C:
			if pending < 2 {
				startCall()
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// firstLine makes one call and waits for its first line. Over ends the wait, and no watch that stands.
func (c *Client) openStream(ctx, waitCtx context.Context, query string) (*watchStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	cancelCall := func() { cancel(nil) }
	stopWaitHook := context.AfterFunc(waitCtx, cancelCall)
	// Danger: a registry that is cut off says nothing, for ever.
	silenceTimer := time.AfterFunc(2*c.hedgeDelay, func() { cancel(errSilent) })
	response, err := c.get(ctx, query)
	if err == nil {
		stream := &watchStream{body: response.Body, reader: bufio.NewReader(response.Body), cancel: cancelCall}
		if stream.firstLine, err = readLine(stream.reader); err == nil {
			if stopWaitHook() && silenceTimer.Stop() {
				return stream, nil
			}
			err = errSilent // the wait ended just then
		}
		response.Body.Close()
	}
	err = errors.Join(err, context.Cause(ctx))
	stopWaitHook()
	silenceTimer.Stop()
	cancelCall()
	return nil, err
}

func (s *watchStream) close() {
	s.cancel()
	s.body.Close()
}

func (c *Client) watch(ctx context.Context) error {
	query := "?watch=1"
	if c.hasList {
		query = fmt.Sprintf("?watch=1&from=%d", c.generation)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.lineCount = 0
	stream, err := c.openWatch(ctx, query)
	if err != nil {
		return err
	}
	defer stream.close()
	silenceTimer := time.AfterFunc(c.maxSilence, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	assembler, line := objectAssembler{}, stream.firstLine
	var fullListGeneration *uint64 // changes up to here are in a whole list that was asked for on the way
	for firstLineDone := false; ; firstLineDone = true {
		if firstLineDone {
			if line, err = readLine(stream.reader); err != nil {
				return errors.Join(err, context.Cause(ctx)) // half a line is no line
			}
		}
		c.lineCount, c.retryDelay = c.lineCount+1, c.firstRetryDelay()
		line, complete := assembler.addLine(line)
		if !complete {
			continue // Danger: an object that comes ever further and never ends tells nothing
		}
		silenceTimer.Reset(c.maxSilence)
		if len(line) == 0 {
			if !firstLineDone {
				// Danger: the module asks again until it hears that it is subscribed, and each call is work for
				// a small service.
				c.notify(&node.List{Form: policy.ListChanges})
			}
			continue
		}
		list, generation, err := c.ids.parseList(line)
		if err != nil {
			c.log.Error().Err(err).Msg("broken line of the list; asking for the whole list")
			if list, generation, err = c.fetchFullList(ctx); err != nil {
				return err
			}
			if generation < c.generation {
				// Danger: the registry's answers may lag behind its watches. A list older than a change that was told would
				// bring a draining server back, and the change is never told again; the watch goes on from what is held.
				return fmt.Errorf("whole list of generation %d is older than what is held", generation)
			}
			silenceTimer.Reset(c.maxSilence)
			fullListGeneration = &generation
		}
		if list.Form == policy.ListChanges && fullListGeneration != nil && generation <= *fullListGeneration {
			continue // older than the whole list
		}
		c.acceptList(list, generation)
	}
}

func (c *Client) acceptList(list *node.List, generation uint64) {
	c.generation, c.hasList = generation, true
	c.log.Info().Uint64("generation", generation).Int("entries", len(list.Entries)).
		Bool("whole", list.Form == policy.ListWhole).Msg("list")
	c.notify(list)
}

// whole asks for the whole list once.
func (c *Client) fetchFullList(ctx context.Context) (*node.List, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, fullListTimeout)
	defer cancel()
	c.lastCall = time.Now()
	response, err := c.get(ctx, "")
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return nil, 0, err
	}
	list, generation, err := c.ids.parseList(raw)
	if err != nil {
		return nil, 0, fmt.Errorf("whole list: %w", err)
	}
	list.Form = policy.ListWhole
	return list, generation, nil
}

func (c *Client) get(ctx context.Context, query string) (*http.Response, error) {
	c.log.Debug().Str("query", query).Msg("call")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Addr+targetsPath+query, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.httpClient.Do(request)
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
type objectAssembler struct{ buffer []byte }

// add takes a line and gives what ends with it: an object, what can't become one, or an empty line alone. An object ends with a
// brace; trying it at every line would be work by the square of a list.
func (a *objectAssembler) addLine(line []byte) (object []byte, complete bool) {
	isFirstLine := len(a.buffer) == 0
	a.buffer = append(a.buffer, line...)
	if len(line) > 0 && len(a.buffer) <= maxLineBytes {
		if !isFirstLine && line[len(line)-1] != '}' || isIncompleteObject(a.buffer) {
			return nil, false
		}
	}
	object, a.buffer = a.buffer, nil
	return object, true
}

// unfinished says that raw may be the beginning of an object.
func isIncompleteObject(raw []byte) bool {
	var value json.RawMessage
	return errors.Is(json.NewDecoder(bytes.NewReader(raw)).Decode(&value), io.ErrUnexpectedEOF)
}

// readLine reads up to the line's end and refuses one that has none in reach.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return bytes.TrimSpace(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > maxLineBytes:
			return nil, errors.New("line is too long")
		}
	}
}
