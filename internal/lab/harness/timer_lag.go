package harness

import (
	"sync"
	"time"
)

// TimerLag measures how late timers of this process fire, with a timer of its own beside those of the load. On an
// overloaded machine the harness itself is late, and a late answer cannot be attributed to the nodes.
type TimerLag struct {
	mu        sync.Mutex
	worst     time.Duration
	worstAt   time.Time // when worst was recorded
	total     time.Duration
	samples   int
	stop      chan struct{}
	goroutine sync.WaitGroup
}

// sampleInterval is the time for which the timer is set.
const sampleInterval = 5 * time.Millisecond

// NewTimerLag starts a measurement.
func NewTimerLag() *TimerLag {
	l := &TimerLag{stop: make(chan struct{})}
	l.goroutine.Go(l.run)
	return l
}

// run sets and times the timer until Stop.
func (l *TimerLag) run() {
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(sampleInterval)
		timer.Reset(sampleInterval)
		select {
		case <-l.stop:
			l.record(max(0, time.Since(due))) // the timer may be overdue already
			return
		case <-timer.C:
			l.record(time.Since(due))
		}
	}
}

// record adds one sample.
func (l *TimerLag) record(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples++
	l.total += late
	if late > l.worst {
		l.worst = late
		l.worstAt = time.Now()
	}
}

// Reset drops the samples so far, such as those from the start of the processes.
func (l *TimerLag) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.worst = 0
	l.total = 0
	l.samples = 0
}

// Stop ends the measurement and returns the worst and the mean lateness.
func (l *TimerLag) Stop() (worst, mean time.Duration) {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.goroutine.Wait()
	return l.worst, l.total / time.Duration(max(1, l.samples))
}
