// Package load generates the arrivals of an experiment. The load is an open loop, computed beforehand from a seed, so
// that a slow node does not reduce its own load. Arrivals can be written to a trace file and read back.
package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"

	"canvasrouter/internal/lab/load/rngstream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

// Arrival is one op that a client is scheduled to send.
type Arrival struct {
	At          policy.Micros   `json:"at_us"` // from the start of the load
	Category    int             `json:"category"`
	Tenant      int             `json:"tenant"`              // -1: none
	WorkByTier  []policy.Micros `json:"work_us"`             // core time in each tier
	CallsByTier []int           `json:"calls,omitempty"`     // calls to the next tier by each run in a tier
	AlwaysFails bool            `json:"fails,omitempty"`     // every server answers with an error at once; unscored
	KillsFor    policy.Micros   `json:"kills_us,omitempty"`  // down time of the server in KillTier that starts the op and crashes; unscored
	KillTier    int             `json:"in,omitempty"`        // tier in which KillsFor applies
	LeavesAfter policy.Micros   `json:"leaves_us,omitempty"` // time from sending to the client's departure; 0: it waits for the answer
}

// Unscored reports whether the op comes on top of the load and counts in no figure of the result.
func (a *Arrival) Unscored() bool { return a.AlwaysFails || a.KillsFor > 0 }

// Generate returns the arrivals of a load of the given duration, in order of time.
func Generate(s *scenario.Scenario, duration policy.Micros, seed uint64) []Arrival {
	timing := rngstream.New(seed, "arrivals")
	mix := rngstream.New(seed, "mix")
	var arrivals []Arrival
	for at := policy.Micros(0); ; {
		rate := s.Load.Rate / 1e6 // per microsecond
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
	// Additional load of disturbances uses random streams of its own, so that the other arrivals do not depend on it.
	for i, disturbance := range s.Disturbances {
		extraFactor := map[string]float64{"burst": disturbance.Factor - 1, "failing": disturbance.Factor, "poison": disturbance.Share}[disturbance.Kind]
		if extraFactor <= 0 {
			continue
		}
		random := rngstream.New(seed, fmt.Sprintf("burst %d", i))
		share := 1.0
		tenant := -1
		if disturbance.Tenant != "" {
			totalShare := 0.0
			for n, x := range s.Tenants {
				totalShare += x.Share
				if x.Name == disturbance.Tenant {
					tenant = n
					share = x.Share
				}
			}
			share /= totalShare
		}
		rate := s.Load.Rate / 1e6 * extraFactor * share
		for at := disturbance.At.Micros(); rate > 0; {
			at += max(1, policy.Micros(random.ExpFloat64()/rate))
			if at >= min(duration, (disturbance.At+disturbance.Duration).Micros()) {
				break
			}
			a := newArrival(s, at, tenant, random)
			if a.AlwaysFails = disturbance.Kind == "failing"; disturbance.Kind == "poison" {
				a.KillsFor = policy.Micros(disturbance.Factor * float64(policy.Second))
				a.KillTier = s.TierIndex(disturbance.Tier)
			}
			arrivals = append(arrivals, a)
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

// newArrival draws the category, the work and the calls of an op, and its tenant if tenant is negative.
func newArrival(s *scenario.Scenario, at policy.Micros, tenant int, rng *rand.Rand) Arrival {
	a := Arrival{At: at, Category: weightedChoice(len(s.Categories), func(i int) float64 { return s.Categories[i].Share }, rng),
		Tenant: tenant}
	if tenant < 0 && len(s.Tenants) > 0 {
		a.Tenant = weightedChoice(len(s.Tenants), func(i int) float64 { return s.Tenants[i].Share }, rng)
	}
	category := &s.Categories[a.Category]
	for _, tier := range s.Tiers {
		work := float64(category.MeanWork)
		if category.WorkVariation > 0 { // log-normal with the given mean and coefficient of variation
			variance := math.Log(1 + category.WorkVariation*category.WorkVariation)
			work *= math.Exp(math.Sqrt(variance)*rng.NormFloat64() - variance/2)
		}
		a.WorkByTier = append(a.WorkByTier, max(1, policy.Micros(work)))
		calls := int(tier.CallsPerOp)
		if rng.Float64() < tier.CallsPerOp-float64(calls) {
			calls++
		}
		a.CallsByTier = append(a.CallsByTier, calls)
	}
	if s.Load.ImpatientShare > 0 && rng.Float64() < s.Load.ImpatientShare {
		a.LeavesAfter = max(1, policy.Micros(rng.Float64()*float64(category.TTL)))
	}
	return a
}

// weightedChoice draws a number from 0 to n-1, with a probability proportional to its weight.
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

// WriteTrace writes arrivals as a trace, with one JSON object per line.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range arrivals {
		if err := encoder.Encode(&arrivals[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// ReadTrace reads the arrivals of a trace that are earlier than duration. It checks that the trace fits the experiment;
// an error names the line.
func ReadTrace(r io.Reader, s *scenario.Scenario, duration policy.Micros) (arrivals []Arrival, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	last := policy.Micros(0)
	for line := 1; scanner.Scan(); line++ {
		var a Arrival
		switch err := json.Unmarshal(scanner.Bytes(), &a); {
		case err != nil:
			return nil, fmt.Errorf("trace line %d: %w", line, err)
		case a.At < last:
			return nil, fmt.Errorf("trace line %d: at_us goes back", line)
		case a.Category < 0 || a.Category >= len(s.Categories):
			return nil, fmt.Errorf("trace line %d: category %d is not in the experiment", line, a.Category)
		case a.Tenant >= len(s.Tenants):
			return nil, fmt.Errorf("trace line %d: tenant %d is not in the experiment", line, a.Tenant)
		case len(a.WorkByTier) < len(s.Tiers):
			return nil, fmt.Errorf("trace line %d: work_us has %d tiers, the experiment %d", line, len(a.WorkByTier), len(s.Tiers))
		}
		for len(a.CallsByTier) < len(s.Tiers) {
			a.CallsByTier = append(a.CallsByTier, 0)
		}
		for _, work := range a.WorkByTier {
			if work < 1 {
				return nil, fmt.Errorf("trace line %d: work_us %d is not above 0", line, work)
			}
		}
		if last = a.At; a.At < duration {
			arrivals = append(arrivals, a)
		}
	}
	return arrivals, scanner.Err()
}

// Try is what a client knows about an op when one of its tries has ended.
type Try struct {
	Index      int // from 0
	Nacked     bool
	Refused    bool // the node could not be reached
	RetryAfter policy.Micros
	Elapsed    policy.Micros // since the first send
}

// ShouldRetry reports whether a client retries on its own, and after which delay. It retries any op after a nack or a
// refusal, a redeliverable op after any failure, and a deduplicated op whose scope is all servers while the window is
// certain to cover the next try.
func ShouldRetry(s *scenario.Scenario, category int, t Try) (delay policy.Micros, retry bool) {
	spec := &s.Categories[category]
	delay = s.Load.RetryDelay.Micros()
	if s.Load.HonorsRetryAfter {
		delay = max(delay, min(t.RetryAfter, s.Limits.MaxRetryAfter.Micros()))
	}
	if t.Index >= s.Load.Retries || t.Elapsed+delay >= spec.TTL.Micros() {
		return 0, false
	}
	withinWindow := t.Elapsed+delay+spec.TTL.Micros() < spec.DedupWindow.Micros()
	return delay, t.Nacked || t.Refused || spec.Delivery == "redeliverable" ||
		spec.Delivery == "deduplicated" && spec.DedupScope == "all" && withinWindow
}
