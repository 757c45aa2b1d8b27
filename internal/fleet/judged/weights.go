package judged

import (
	"slices"

	"canvasrouter/policy"
)

// steps are what is left of a server's weight, by the age of the evidence against it in seconds: as that grows old the
// server is tried more often, by some node, so that news of it comes before all nodes forget at once.
var steps = [...]float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2}

// tryWeight is what is left of a closed server's weight once one other had an answer: more will try it.
const tryWeight = 1.0 / 4

// slowWeight is what is left of the weight of a server that is slow for others.
const slowWeight = 1.0 / 2

// Weight is a part of the weight that the list gives a server.
type WeightReduction struct {
	Assessment
	RemainingFraction float64
}

// Weights gives the servers whose weight shrinks by hearsay, and to what part. It leaves out what own evidence speaks for,
// and closes at most Part of the list: those with most witnesses against them.
// own is Log.Own, which the caller may guard by a lock of its own.
func WeightReductions(now policy.Micros, list []policy.ServerID, b *ReportTable, own func(policy.Micros, policy.ServerID) (Condition, policy.Micros)) (all []WeightReduction) {
	if len(b.servers) == 0 {
		return nil
	}
	closed := 0
	for _, j := range b.Assess(now, list) {
		_, answered := own(now, j.Server)
		if answered > 0 && now-answered <= ownFresh && answered > j.Since+margin {
			continue // it answers here, after it is said to have stopped
		}
		w := WeightReduction{j, slowWeight}
		if j.Condition.closes() {
			if closed++; float64(closed) > MaxEjectedFraction*float64(len(list)) {
				continue
			}
			w.RemainingFraction = steps[min(len(steps)-1, int(max(0, now-j.LastEvidence)/policy.Second))]
			if j.LastAnswer > j.LastEvidence+refuted {
				w.RemainingFraction = max(w.RemainingFraction, tryWeight)
			}
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b WeightReduction) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return all
}
