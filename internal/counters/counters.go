// Package counters counts events by their reason, for the log. A reason that occurs often is logged at most once in an interval, so
// that clients can't fill the log.
package counters

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxReasons limits the reasons of a set, since some contain what a client has sent. Further ones count as otherReason.
	maxReasons  = 64
	otherReason = "other"
	// logInterval is the time between two log lines about one reason.
	logInterval = time.Second
)

// Set is a set of counters, one for each reason. It is safe for concurrent use. The zero value is ready to use.
type Set struct {
	mu       sync.Mutex // guards byReason and its counters
	byReason map[string]*counter
}

// counter is the counter of one reason.
type counter struct {
	count        int64
	nextLoggedAt time.Time
}

// Add counts an event. It reports whether the event is to be logged, and how many of its reason there were so far.
func (s *Set) Add(reason string) (total int64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byReason == nil {
		s.byReason = make(map[string]*counter)
	}
	found := s.byReason[reason]
	if found == nil {
		if len(s.byReason) >= maxReasons {
			reason = otherReason
		}
		if found = s.byReason[reason]; found == nil {
			found = &counter{}
			s.byReason[reason] = found
		}
	}
	found.count++
	now := time.Now()
	if now.Before(found.nextLoggedAt) {
		return found.count, false
	}
	found.nextLoggedAt = now.Add(logInterval)
	return found.count, true
}

// Log counts an event and logs it, unless the latest log line about its reason is too recent. describe adds what is known of it.
func (s *Set) Log(line *zerolog.Event, reason, message string, describe func(*zerolog.Event)) {
	total, due := s.Add(reason)
	if !due {
		line.Discard()
		return
	}
	if describe != nil {
		describe(line)
	}
	line.Str("reason", reason).Int64("total", total).Msg(message)
}

// Count returns how many events of a reason there were.
func (s *Set) Count(reason string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.byReason[reason]; found != nil {
		return found.count
	}
	return 0
}

// MarshalZerologObject writes one field for each reason that has occurred.
func (s *Set) MarshalZerologObject(line *zerolog.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reason := range slices.Sorted(maps.Keys(s.byReason)) {
		line.Int64(reason, s.byReason[reason].count)
	}
}
