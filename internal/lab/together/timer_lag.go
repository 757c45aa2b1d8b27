package together

import (
	"sync"
	"time"
)

// Lag measures what the rig itself is late with, on a machine that is too busy: a timer of its own, beside the load's.
// A run whose judge was late can't say whose fault a late answer is.
type TimerLag struct {
	mu        sync.Mutex
	worst     time.Duration
	worstAt   time.Time // of the most
	total     time.Duration
	samples   int
	stop      chan struct{}
	goroutine sync.WaitGroup
}

const sampleInterval = 5 * time.Millisecond

// NewLag starts measuring.
func NewTimerLag() *TimerLag {
	l := &TimerLag{stop: make(chan struct{})}
	l.goroutine.Go(l.run)
	return l
}

func (l *TimerLag) run() {
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(sampleInterval)
		timer.Reset(sampleInterval)
		select {
		case <-l.stop:
			l.record(max(0, time.Since(due))) // what is late just now counts
			return
		case <-timer.C:
			l.record(time.Since(due))
		}
	}
}

func (l *TimerLag) record(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples++
	l.total += late
	if late > l.worst {
		l.worst, l.worstAt = late, time.Now()
	}
}

// Begin forgets what was late before, while the processes were started.
func (l *TimerLag) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.worst, l.total, l.samples = 0, 0, 0
}

// End stops measuring, and gives the most and the mean that a timer was late.
func (l *TimerLag) Stop() (worst, mean time.Duration) {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.goroutine.Wait()
	return l.worst, l.total / time.Duration(max(1, l.samples))
}
