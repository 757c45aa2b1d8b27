package frontend

import "github.com/rs/zerolog"

// connUse is what a client's connection holds its socket for.
type connUse int

const (
	useSilent  connUse = iota // no byte of the first request was received
	usePartial                // bytes of a request were received, which is not complete
	useIdle                   // between two requests
	usePending                // a complete request that is not answered yet
	useRefused                // a bad request was answered; the connection is about to be closed
	useCount                  // number of uses
)

// String returns the name of the use in the log.
func (u connUse) String() string {
	return [useCount]string{useSilent: "silent", usePartial: "partial", useIdle: "idle", usePending: "pending",
		useRefused: "refused"}[u]
}

// use returns what the connection holds its socket for. The caller holds mu.
func (c *conn) use() connUse {
	switch state := c.state.Load(); {
	case state == connHasRequest:
		return usePending
	case state == connRefused:
		return useRefused
	case !c.requestStarted.IsZero() || c.phase != phaseHead:
		return usePartial
	case c.served:
		return useIdle
	}
	return useSilent
}

// useCounts is the number of connections of each use.
type useCounts [useCount]int

// MarshalZerologObject writes one field for each use.
func (c useCounts) MarshalZerologObject(e *zerolog.Event) {
	for use, count := range c {
		e.Int(connUse(use).String(), count)
	}
}
