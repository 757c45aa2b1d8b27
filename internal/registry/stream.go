package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// watchStream is a watch that has brought its first line.
type watchStream struct {
	body      io.Closer
	reader    *bufio.Reader
	firstLine []byte
	cancel    context.CancelFunc
}

// openWatch makes a call and, while no line arrives, a second one beside it. The first call that brings a line becomes
// the watch. A call that stays silent is reported as a failure and replaced; openWatch goes on until a call brings a
// line, all of them fail or ctx is done.
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
		for ; pending > 0; pending-- { // ending waitCtx makes each of them return
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

// openStream makes one call and waits for its first line. The end of waitCtx ends the wait but not a stream that was
// returned.
func (c *Client) openStream(ctx, waitCtx context.Context, query string) (*watchStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	cancelCall := func() { cancel(nil) }
	stopWaitHook := context.AfterFunc(waitCtx, cancelCall)
	// A registry that is cut off never answers and never closes the connection.
	silenceTimer := time.AfterFunc(2*c.hedgeDelay, func() { cancel(errSilent) })
	response, err := c.get(ctx, query)
	if err == nil {
		stream := &watchStream{body: response.Body, reader: bufio.NewReader(response.Body), cancel: cancelCall}
		if stream.firstLine, err = readLine(stream.reader); err == nil {
			if stopWaitHook() && silenceTimer.Stop() {
				return stream, nil
			}
			err = errSilent // waitCtx or the timer ended at the same moment
		}
		response.Body.Close()
	}
	err = errors.Join(err, context.Cause(ctx))
	stopWaitHook()
	silenceTimer.Stop()
	cancelCall()
	return nil, err
}

// close ends the call.
func (s *watchStream) close() {
	s.cancel()
	s.body.Close()
}

// get sends a request to the registry and returns the response if its status is 200.
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
