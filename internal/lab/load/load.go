// Package load makes the arrivals of an experiment: an open loop, computed beforehand from a seed, so that a slow node
// never slows its own load. Arrivals can be written to a trace and played back.
package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"

	"canvasrouter/internal/lab/load/stream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

// Arrival is one op as a client means to send it.
type Arrival struct {
	At          policy.Micros   `json:"at_us"` // from the start of the load
	Category    int             `json:"category"`
	Tenant      int             `json:"tenant"` // -1: none
	WorkByTier  []policy.Micros `json:"work_us"`
	CallsByTier []int           `json:"calls,omitempty"`    // to the next tier, by each run in a tier
	AlwaysFails bool            `json:"fails,omitempty"`    // at once, at any server; worth nothing
	KillsFor    policy.Micros   `json:"kills_us,omitempty"` // the server of tier In that begins it, for so long; worth nothing
	KillTier    int             `json:"in,omitempty"`
	LeavesAfter policy.Micros   `json:"leaves_us,omitempty"` // the client goes so long after sending; 0: it waits to the end
}

// Worthless says that the op comes on top of the load and counts for nothing.
func (a *Arrival) Unscored() bool { return a.AlwaysFails || a.KillsFor > 0 }

// Make computes the arrivals of a whole load of the given length.
func Generate(s *scenario.Scenario, duration policy.Micros, seed uint64) []Arrival {
	timing, mix := stream.New(seed, "arrivals"), stream.New(seed, "mix")
	var arrivals []Arrival
	for at := policy.Micros(0); ; {
		rate := s.Load.Rate / 1e6 // a microsecond
		burst := 1
		switch s.Load.Arrivals {
		case "even":
			at += max(1, policy.Micros(1/rate))
		case "poisson":
			at += max(1, policy.Micros(timing.ExpFloat64()/rate))
		case "bursty":
			burst = 1 + int(timing.ExpFloat64()*(s.Load.MeanBurst-1)+0.5)
			at += max(1, policy.Micros(timing.ExpFloat64()*s.Load.MeanBurst/rate))
		}
		if at >= duration {
			break
		}
		for range burst {
			arrivals = append(arrivals, newArrival(s, at, -1, mix))
		}
	}
	// Further load of bursts: arrivals of their own, so that the rest stays as it is without them.
	for i, t := range s.Disturbances {
		extraFactor := map[string]float64{"burst": t.Factor - 1, "failing": t.Factor, "poison": t.Share}[t.Kind]
		if extraFactor <= 0 {
			continue
		}
		random, share, tenant := stream.New(seed, fmt.Sprintf("burst %d", i)), 1.0, -1
		if t.Tenant != "" {
			totalShare := 0.0
			for n, x := range s.Tenants {
				totalShare += x.Share
				if x.Name == t.Tenant {
					tenant, share = n, x.Share
				}
			}
			share /= totalShare
		}
		rate := s.Load.Rate / 1e6 * extraFactor * share
		for at := t.At.Micros(); rate > 0; {
			at += max(1, policy.Micros(random.ExpFloat64()/rate))
			if at >= min(duration, (t.At+t.Duration).Micros()) {
				break
			}
			a := newArrival(s, at, tenant, random)
			if a.AlwaysFails = t.Kind == "failing"; t.Kind == "poison" {
				a.KillsFor, a.KillTier = policy.Micros(t.Factor*float64(policy.Second)), s.TierIndex(t.Tier)
			}
			arrivals = append(arrivals, a)
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

func newArrival(s *scenario.Scenario, at policy.Micros, tenant int, rng *rand.Rand) Arrival {
	a := Arrival{At: at, Category: weightedChoice(len(s.Categories), func(i int) float64 { return s.Categories[i].Share }, rng),
		Tenant: tenant}
	if tenant < 0 && len(s.Tenants) > 0 {
		a.Tenant = weightedChoice(len(s.Tenants), func(i int) float64 { return s.Tenants[i].Share }, rng)
	}
	c := &s.Categories[a.Category]
	for _, t := range s.Tiers {
		work := float64(c.MeanWork)
		if c.WorkVariation > 0 { // log-normal with that mean and that coefficient of variation
			variance := math.Log(1 + c.WorkVariation*c.WorkVariation)
			work *= math.Exp(math.Sqrt(variance)*rng.NormFloat64() - variance/2)
		}
		a.WorkByTier = append(a.WorkByTier, max(1, policy.Micros(work)))
		calls := int(t.CallsPerOp)
		if rng.Float64() < t.CallsPerOp-float64(calls) {
			calls++
		}
		a.CallsByTier = append(a.CallsByTier, calls)
	}
	if s.Load.ImpatientShare > 0 && rng.Float64() < s.Load.ImpatientShare {
		a.LeavesAfter = max(1, policy.Micros(rng.Float64()*float64(c.TTL)))
	}
	return a
}

// choose draws a number below n by weights.
func weightedChoice(n int, weight func(int) float64, rng *rand.Rand) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	draw := rng.Float64() * total
	for i := range n {
		if draw -= weight(i); draw < 0 {
			return i
		}
	}
	return n - 1
}

// Write writes arrivals as a trace: a JSON object a line.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	buffered := bufio.NewWriter(w)
	lines := json.NewEncoder(buffered)
	for i := range arrivals {
		if err := lines.Encode(&arrivals[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// Read reads a trace that fits the experiment. An error names the line.
func ReadTrace(r io.Reader, s *scenario.Scenario, duration policy.Micros) (arrivals []Arrival, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	last := policy.Micros(0)
	for n := 1; lines.Scan(); n++ {
		var a Arrival
		switch err := json.Unmarshal(lines.Bytes(), &a); {
		case err != nil:
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		case a.At < last:
			return nil, fmt.Errorf("trace line %d: at_us goes back", n)
		case a.Category < 0 || a.Category >= len(s.Categories):
			return nil, fmt.Errorf("trace line %d: category %d is not in the experiment", n, a.Category)
		case a.Tenant >= len(s.Tenants):
			return nil, fmt.Errorf("trace line %d: tenant %d is not in the experiment", n, a.Tenant)
		case len(a.WorkByTier) < len(s.Tiers):
			return nil, fmt.Errorf("trace line %d: work_us has %d tiers, the experiment %d", n, len(a.WorkByTier), len(s.Tiers))
		}
		for len(a.CallsByTier) < len(s.Tiers) {
			a.CallsByTier = append(a.CallsByTier, 0)
		}
		for _, work := range a.WorkByTier {
			if work < 1 {
				return nil, fmt.Errorf("trace line %d: work_us %d is not above 0", n, work)
			}
		}
		if last = a.At; a.At < duration {
			arrivals = append(arrivals, a)
		}
	}
	return arrivals, lines.Err()
}

// Try is what a client knows of an op when a try has ended.
type Try struct {
	Index      int // from 0
	Nacked     bool
	Refused    bool // the node could not be reached
	RetryAfter policy.Micros
	Elapsed    policy.Micros // since the first send
}

// Again says whether and after what wait a client tries again by itself: a redeliverable op after any failure, a
// deduplicated one whose group is all servers while its window surely covers the next try, any after a nack.
func ShouldRetry(s *scenario.Scenario, category int, t Try) (delay policy.Micros, retry bool) {
	c := &s.Categories[category]
	delay = s.Load.RetryDelay.Micros()
	if s.Load.HonorsRetryAfter {
		delay = max(delay, min(t.RetryAfter, s.Limits.MaxRetryAfter.Micros()))
	}
	if t.Index >= s.Load.Retries || t.Elapsed+delay >= c.TTL.Micros() {
		return 0, false
	}
	withinWindow := t.Elapsed+delay+c.TTL.Micros() < c.DedupWindow.Micros()
	return delay, t.Nacked || t.Refused || c.Delivery == "redeliverable" ||
		c.Delivery == "deduplicated" && c.DedupScope == "all" && withinWindow
}
