package policy

import "math"

// What a node remembers of what it saw. Nothing here decides.

// rate is a number a second that forgets at the pace of one period.
type rate struct {
	value float64
	at    Micros
	first Micros // when it began to count
}

func (r *rate) read(now Micros) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(period))
		r.at = now
	}
	return r.value
}

func (r *rate) add(now Micros) {
	if r.first == 0 {
		r.first = now
	}
	r.value = r.read(now) + float64(Second)/float64(period)
}

// whole is the rate less the shortfall of a memory that is not yet full.
func (r *rate) whole(now Micros) float64 {
	return r.read(now) / (1 - math.Exp(-float64(max(beat, now-r.first))/float64(period)))
}

// answers is the recent answer time of a category.
type answers struct{ mean, dev, usual float64 }

func (a *answers) learn(took Micros) {
	learn(&a.dev, math.Abs(float64(took)-a.mean), shareMemory)
	learn(&a.mean, float64(took), shareMemory)
}

// learn moves a recent mean towards x.
func learn(mean *float64, x, memory float64) { *mean += (x - *mean) / memory }

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// room is the place of a server that is gone and holds nothing, or a new one.
func (n *Node) room() int32 {
	for i := range n.servers {
		if s := &n.servers[i]; s.State == Gone && s.held == 0 {
			delete(n.byID, s.Server)
			return int32(i)
		}
	}
	n.servers = append(n.servers, server{})
	return int32(len(n.servers) - 1)
}

// fill adds rate a second, up to most, and returns what is left.
func (a *tokens) fill(now Micros, rate, most float64) float64 {
	a.left = min(most, a.left+rate*float64(now-a.at)/float64(Second))
	a.at = now
	return a.left
}
