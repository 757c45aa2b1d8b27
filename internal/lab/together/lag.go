package together

import (
	"sync"
	"time"
)

// Lag measures what the rig itself is late with, on a machine that is too busy: a timer of its own, beside the load's.
// A run whose judge was late can't say whose fault a late answer is.
type TimerLag struct {
	mu   sync.Mutex
	most time.Duration
	at   time.Time // of the most
	sum  time.Duration
	n    int
	stop chan struct{}
	over sync.WaitGroup
}

const lagEvery = 5 * time.Millisecond

// NewLag starts measuring.
func NewTimerLag() *TimerLag {
	l := &TimerLag{stop: make(chan struct{})}
	l.over.Go(l.run)
	return l
}

func (l *TimerLag) run() {
	timer := time.NewTimer(lagEvery)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagEvery)
		timer.Reset(lagEvery)
		select {
		case <-l.stop:
			l.book(max(0, time.Since(due))) // what is late just now counts
			return
		case <-timer.C:
			l.book(time.Since(due))
		}
	}
}

func (l *TimerLag) book(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	l.sum += late
	if late > l.most {
		l.most, l.at = late, time.Now()
	}
}

// Begin forgets what was late before, while the processes were started.
func (l *TimerLag) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.sum, l.n = 0, 0, 0
}

// End stops measuring, and gives the most and the mean that a timer was late.
func (l *TimerLag) Stop() (most, mean time.Duration) {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.over.Wait()
	return l.most, l.sum / time.Duration(max(1, l.n))
}
