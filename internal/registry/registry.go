// Package registry is the client of the service registry. It watches the list of servers, reconnects after failures
// and passes every list and every change on to the node.
package registry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

const (
	targetsPath = "/api/targets"

	// maxSilence ends a watch that brings no line. While nothing changes the registry sends an empty line every 2 s, so
	// this is two missed lines. A change counts as delivered 6 s after it happened, even at a node that is cut off from
	// the registry; after a third missed line the node could not reconnect within that time.
	maxSilence = 2*2*time.Second + 200*time.Millisecond

	// hedgeDelay is how long a call may bring nothing before a second call is made beside it. A change counts as
	// delivered 6 s after the registry had it and could be reached, and a call that was sent before that may never be
	// answered. The first call is kept because the registry queues calls for some seconds, and a call that is abandoned
	// has to queue again.
	hedgeDelay = 3 * time.Second

	// fullListTimeout bounds the call for a full list after a line of the watch that cannot be decoded.
	fullListTimeout = 4 * time.Second

	// maxRetryDelay is the longest time from the start of a failed call to the start of the next one, whether the
	// client or the policy retries. It is half of the 6 s after which a change counts as delivered.
	maxRetryDelay = 3 * time.Second

	dialTimeout      = time.Second
	maxLineBytes     = 2 << 20 // a list of 3,200 servers, indented, has half of it
	maxBackoffFactor = 8       // longest retry delay, in multiples of Options.BaseRetryDelay

	// firstRetryDivisor divides Options.BaseRetryDelay to give the longest delay before the first retry after a watch
	// that was established. The watches of the whole fleet may end at once; without a random delay all nodes would
	// reconnect in the same moment.
	firstRetryDivisor = 4
)

// errSilent reports that the registry sent nothing for too long.
var errSilent = errors.New("silent")

// Options configure a Client.
type Options struct {
	Addr         string   // host:port of the registry
	Zones        []string // zone names in the order of their numbers
	MachineTypes []string // machine type names in the order of their numbers

	// AutoWatch is set where the registry sends changes without being asked by the policy. The client then keeps a watch
	// open by itself.
	AutoWatch bool

	// BaseRetryDelay is the base of the delay between two such watches. The delay starts at a quarter of it and doubles
	// with each failure, to at most eight times the base and at most 3 s.
	BaseRetryDelay time.Duration

	// DrainGrace is the grace period of draining servers; 0 if the settings do not give one. With AutoWatch, half of it
	// bounds the delay between two watches.
	DrainGrace time.Duration

	Seed uint64 // of the random delays
}

// Client follows the list of servers. LoadCached, where it is used, comes before Run.
type Client struct {
	options       Options
	log           zerolog.Logger
	ids           *idAllocator
	generation    uint64 // of the newest list or change
	hasList       bool   // a watch asks only for the changes after generation
	maxSilence    time.Duration
	hedgeDelay    time.Duration
	httpClient    *http.Client
	autoWatch     atomic.Bool   // Options.AutoWatch until SetAutoWatch changes it
	watchRequests chan struct{} // capacity 1: requests that are not yet served are merged
	callPending   atomic.Bool   // a call has been sent and has brought no line yet
	lastCall      time.Time     // start of the last call
	newAddrs      chan string   // capacity 1: the latest address from SetAddr
	notify        func(*node.List)
	retryDelay    time.Duration // current backoff
	drainGrace    atomic.Int64  // Options.DrainGrace until SetAutoWatch changes it
	lineCount     int           // lines that the current watch has brought
	rng           *rand.Rand
}

// New returns a client whose connections are taken from the given socket budget.
func New(options Options, budget *sockets.Budget, log zerolog.Logger) *Client {
	dialer := &sockets.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}, Budget: budget}
	c := &Client{
		options:       options,
		log:           log,
		ids:           newIDAllocator(options.Zones, options.MachineTypes),
		watchRequests: make(chan struct{}, 1),
		newAddrs:      make(chan string, 1),
		maxSilence:    maxSilence,
		hedgeDelay:    hedgeDelay,
		rng:           rand.New(rand.NewSource(int64(options.Seed))),
		httpClient: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
					return dialer.Dial(ctx, network, addr)
				},
				// On a kept connection net/http may repeat a request by itself.
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	c.autoWatch.Store(options.AutoWatch)
	c.drainGrace.Store(int64(options.DrainGrace))
	c.retryDelay = c.firstRetryDelay()
	return c
}

// LoadCached decodes the list that the node had when it last ran. An empty input is an empty list. The next watch asks
// only for changes after the generation of this list.
func (c *Client) LoadCached(raw []byte) (*node.List, error) {
	if raw = bytes.TrimSpace(raw); len(raw) == 0 || string(raw) == "null" {
		return &node.List{Form: policy.ListCached}, nil
	}
	list, generation, err := c.ids.parseList(raw)
	if err != nil {
		return nil, fmt.Errorf("config: key known: %w", err)
	}
	c.generation = generation
	c.hasList = true
	list.Form = policy.ListCached
	return list, nil
}

// firstRetryDelay returns the longest delay before the first retry after a watch that was established.
func (c *Client) firstRetryDelay() time.Duration { return c.options.BaseRetryDelay / firstRetryDivisor }

// retryDelayLimit returns the longest delay between two watches. It bounds how late the node notices that the registry is
// back. With AutoWatch a change counts as delivered whether or not the node has a watch open, so a node that reconnects
// late would push to draining servers after their drain grace.
func (c *Client) retryDelayLimit() time.Duration {
	limit := min(maxBackoffFactor*c.options.BaseRetryDelay, maxRetryDelay)
	if grace := time.Duration(c.drainGrace.Load()); grace > 0 && c.autoWatch.Load() {
		limit = min(limit, grace/2)
	}
	return max(limit, c.firstRetryDelay())
}

// SetAutoWatch changes Options.AutoWatch and Options.DrainGrace while the client runs. Turning AutoWatch on opens a watch
// at once.
func (c *Client) SetAutoWatch(enabled bool, drainGrace time.Duration) {
	c.drainGrace.Store(int64(drainGrace))
	if c.autoWatch.Swap(enabled) != enabled && enabled {
		c.Watch()
	}
}

// ZoneID returns the number that lists use for a zone. It is safe for concurrent use.
func (c *Client) ZoneID(name string) policy.ZoneID { return policy.ZoneID(c.ids.zoneIndex(name)) }

// Watch opens a new watch, in place of the current one. It does not block. While a call is unanswered Watch does nothing:
// a new call would lose the first one's place in the registry's queue, and the answer or the failure of the first one is
// reported in any case.
func (c *Client) Watch() {
	if c.callPending.Load() {
		return
	}
	select {
	case c.watchRequests <- struct{}{}:
	default:
	}
}

// SetAddr changes the registry's address while the client runs. It does not block. It must not be called concurrently.
func (c *Client) SetAddr(addr string) {
	select {
	case <-c.newAddrs: // drop an older address that Run has not received yet
	default:
	}
	c.newAddrs <- addr
}

// Run follows the list until ctx is done and calls notify for every list, change and failure. Watch and SetAddr end the
// current watch and open another one. After SetAddr the new address is asked at once for the changes after the known
// generation, and the end of the watch at the old address is not reported as a failure.
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
			c.options.Addr = addr
			c.retryDelay = c.firstRetryDelay()
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

// runWatch keeps one watch open until it ends, reports the end as a failure unless ctx is done, and requests the next
// watch after a delay.
func (c *Client) runWatch(ctx context.Context) {
	err := c.watchSafely(ctx)
	// A change that a silent watch misses counts as delivered soon afterwards, and the backoff that spares a registry
	// that is down would use up that time. So a watch that was established and then fell silent is reopened without
	// backoff: the first time always, later only if the reopened watch has brought more than its first line.
	for minLines := 1; errors.Is(err, errSilent) && c.lineCount >= minLines && ctx.Err() == nil; minLines = 2 {
		c.log.Warn().Uint64("generation", c.generation).Msg("watch of the list is silent, opened anew")
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.Int63n(int64(c.firstRetryDelay()) + 1))):
			err = c.watchSafely(ctx)
		}
	}
	if ctx.Err() != nil {
		return
	}
	c.log.Warn().Err(err).Uint64("generation", c.generation).Msg("watch of the list ended")
	c.notify(&node.List{Form: policy.ListFailed})
	// The whole fleet may lose a small registry at the same time, so the delay is random and grows with each failure.
	// Without AutoWatch the policy has its own schedule of calls, which may be later than the time at which a change
	// counts as delivered, so the client retries before that.
	c.retryDelay = min(c.retryDelay, c.retryDelayLimit()) // SetAutoWatch may have lowered the limit
	limit := c.retryDelay
	if !c.autoWatch.Load() {
		limit = c.retryDelayLimit()
	}
	// The time that the failed call took counts towards the delay.
	delay := max(c.randomDelay(limit)-time.Since(c.lastCall), c.randomDelay(c.firstRetryDelay()))
	c.retryDelay = min(2*c.retryDelay, c.retryDelayLimit())
	select {
	case <-ctx.Done():
	case <-time.After(delay):
		c.Watch()
	}
}

// randomDelay returns a random duration from half of limit to limit.
func (c *Client) randomDelay(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(c.rng.Int63n(int64(limit)/2+1))
}

// watchSafely does the work of watch. A panic would end the process; it ends the watch with an error.
func (c *Client) watchSafely(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return c.watch(ctx)
}

// watch opens a watch and reports what it brings until it ends. It returns the reason for the end.
//
// Changes of a generation before the known one come from another registry process, which counts from below: the changes before
// them are not known, so they can't be applied to the list of the earlier process.
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
	assembler := objectAssembler{}
	line := stream.firstLine
	var fullListGeneration *uint64 // generation of a full list that replaced a broken line of this watch
	for firstLineDone := false; ; firstLineDone = true {
		if firstLineDone {
			if line, err = readLine(stream.reader); err != nil {
				return errors.Join(err, context.Cause(ctx)) // an incomplete last line is dropped
			}
		}
		c.lineCount++
		c.retryDelay = c.firstRetryDelay()
		line, complete := assembler.addLine(line)
		if !complete {
			continue // silenceTimer runs on: an object that grows and never ends carries no information
		}
		silenceTimer.Reset(c.maxSilence)
		if len(line) == 0 {
			if !firstLineDone {
				// An empty list of changes shows the policy that it is subscribed. Otherwise it would ask again and
				// again, and each call is work for a small service.
				c.notify(&node.List{Form: policy.ListChanges})
			}
			continue
		}
		list, generation, err := c.ids.parseList(line)
		startedAnew := err == nil && list.Form == policy.ListChanges && generation < c.generation
		if startedAnew {
			c.log.Warn().Uint64("generation", generation).Uint64("known", c.generation).
				Msg("the registry counts anew; asking for the whole list")
		}
		if err != nil {
			c.log.Error().Err(err).Msg("broken line of the list; asking for the whole list")
		}
		if err != nil || startedAnew {
			if list, generation, err = c.fetchFullList(ctx); err != nil {
				return err
			}
			if generation < c.generation && !startedAnew {
				// The registry's responses may lag behind its watches. A list that is older than a reported change would
				// bring a draining server back, and the change is never sent again. The next watch continues from
				// c.generation.
				return fmt.Errorf("full list of generation %d is older than the list already known", generation)
			}
			silenceTimer.Reset(c.maxSilence)
			fullListGeneration = &generation
		}
		if list.Form == policy.ListChanges && fullListGeneration != nil && generation <= *fullListGeneration {
			continue // the full list already contains these changes
		}
		c.acceptList(list, generation)
	}
}

// acceptList records the generation of a list and reports the list.
func (c *Client) acceptList(list *node.List, generation uint64) {
	c.generation = generation
	c.hasList = true
	c.log.Info().Uint64("generation", generation).Int("entries", len(list.Entries)).
		Bool("whole", list.Form == policy.ListFull).Msg("list")
	c.notify(list)
}

// fetchFullList makes one call for the full list.
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
		return nil, 0, fmt.Errorf("full list: %w", err)
	}
	list.Form = policy.ListFull
	return list, generation, nil
}
