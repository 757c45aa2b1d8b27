package policy

import "math"

// decayingRate is a rate of events, per second, that forgets exponentially with the time constant rateMemory.
type decayingRate struct {
	perSecond     float64
	updatedAt     Micros
	countingSince Micros // time of the first event
}

// current returns the rate as it has decayed by now.
func (r *decayingRate) current(now Micros) float64 {
	if now > r.updatedAt {
		r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(rateMemory))
		r.updatedAt = now
	}
	return r.perSecond
}

// add counts one event.
func (r *decayingRate) add(now Micros) {
	if r.countingSince == 0 {
		r.countingSince = now
	}
	r.perSecond = r.current(now) + float64(Second)/float64(rateMemory)
}

// biasCorrected returns the rate without the bias towards 0 that a decaying rate has soon after its first
// event.
func (r *decayingRate) biasCorrected(now Micros) float64 {
	return r.current(now) /
		(1 - math.Exp(-float64(max(controlInterval, now-r.countingSince))/float64(rateMemory)))
}

// latencyStats holds the recent latencies of a category: mean, mean deviation, and as baseline a mean over
// more answers, all from servers that were not under control.
type latencyStats struct {
	mean      float64
	deviation float64
	baseline  float64
}

// observe adds the latency of a push. A timeout counts for at most the mean plus 5/4 of the deviation: where
// a tenth of the answers never come, timeouts counted in full would lengthen the next timeouts until no time
// is left for another push. Where all answers are late, the timeouts still grow.
func (s *latencyStats) observe(latency Micros, outcome Outcome) {
	sample := float64(latency)
	if outcome == TimedOut {
		sample = min(sample, s.mean+5.0/4*s.deviation)
	}
	updateMean(&s.deviation, math.Abs(sample-s.mean), shareSamples)
	updateMean(&s.mean, sample, shareSamples)
}

// updateMean moves an exponentially weighted mean over about the given number of samples towards a new
// sample.
func updateMean(mean *float64, sample, samples float64) { *mean += (sample - *mean) / samples }

// indicator returns 1 if the condition holds, else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// tokenBucket is a bucket of tokens that fills with time.
type tokenBucket struct {
	available float64
	updatedAt Micros
}

// refill adds tokens for the time since the last call, up to the capacity, and returns the tokens available.
func (b *tokenBucket) refill(now Micros, perSecond, capacity float64) float64 {
	b.available = min(capacity, b.available+perSecond*float64(now-b.updatedAt)/float64(Second))
	b.updatedAt = now
	return b.available
}
