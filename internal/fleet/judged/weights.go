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
type Weight struct {
	Judgement
	Part float64
}

// Weights gives the servers whose weight shrinks by hearsay, and to what part. It leaves out what own evidence speaks for,
// and closes at most Part of the list: those with most witnesses against them.
// own is Log.Own, which the caller may guard by a lock of its own.
func Weights(now policy.Micros, list []policy.ServerID, b *Book, own func(policy.Micros, policy.ServerID) (Ill, policy.Micros)) (all []Weight) {
	if len(b.servers) == 0 {
		return nil
	}
	closed := 0
	for _, j := range b.Judge(now, list) {
		_, answered := own(now, j.Server)
		if answered > 0 && now-answered <= ownFresh && answered > j.Since+margin {
			continue // it answers here, after it is said to have stopped
		}
		w := Weight{j, slowWeight}
		if j.Ill.closes() {
			if closed++; float64(closed) > Part*float64(len(list)) {
				continue
			}
			w.Part = steps[min(len(steps)-1, int(max(0, now-j.Last)/policy.Second))]
			if j.Answered > j.Last+refuted {
				w.Part = max(w.Part, tryWeight)
			}
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Weight) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return all
}
