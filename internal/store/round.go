package store

// phase is what a round waits for.
type phase uint8

const (
	preparing phase = iota // promises
	accepting              // acceptances
	done                   // a majority has accepted
	overtaken              // a later ballot is in the way
)

// Round is one attempt to change a key. From preparing it goes on to accepting with a majority of promises, from there to done with
// a majority of acceptances; one refusal that can't be outvoted ends it.
//
//	state      input                          effect                     next
//	preparing  promise, a majority now        value made of the latest   accepting
//	preparing  refusal, no majority possible                             overtaken
//	accepting  acceptance, a majority now     value is chosen            done
//	accepting  refusal, no majority possible                             overtaken
//	any        anything of a replica twice    none                       the same
type Round struct {
	Ballot   Ballot
	change   *Change
	replicas int
	at       phase
	promised map[int]Reply
	accepted map[int]bool
	refused  map[int]bool
	latest   Ballot // the highest that was in the way
	value    *Value
	verdict  Verdict
	version  Version
}

// NewRound begins with a ballot that its replica has never used.
func NewRound(b Ballot, c *Change, replicas int) *Round {
	return &Round{Ballot: b, change: c, replicas: replicas, promised: map[int]Reply{}, accepted: map[int]bool{}, refused: map[int]bool{}}
}

func (r *Round) majority() int { return r.replicas/2 + 1 }

// refuse counts a replica that has promised a later ballot.
func (r *Round) refuse(from int, in Ballot) {
	r.refused[from] = true
	if in.Compare(r.latest) > 0 {
		r.latest = in
	}
	if r.replicas-len(r.refused) < r.majority() {
		r.at = overtaken
	}
}

// Promised takes a replica's answer to the ballot.
func (r *Round) HandlePrepareReply(from int, p Reply) {
	if _, known := r.promised[from]; known || r.refused[from] || r.at != preparing {
		return
	}
	if !p.Granted {
		r.refuse(from, p.Promised)
		return
	}
	r.promised[from] = p
	if len(r.promised) < r.majority() {
		return
	}
	// Danger: of what was accepted before, the latest may have been chosen; any other must give way to it.
	var best Reply
	for _, p := range r.promised {
		if p.Value != nil && (best.Value == nil || p.Accepted.Compare(best.Accepted) > 0) {
			best = p
		}
	}
	r.value, r.verdict, r.version = NextValue(best.Value, r.change)
	r.at, r.refused = accepting, map[int]bool{}
	if r.value == nil { // nothing stands, and the change makes nothing
		r.at = done
	}
}

// Accepted takes a replica's answer to the value.
func (r *Round) HandleAcceptReply(from int, p Reply) {
	if r.accepted[from] || r.refused[from] || r.at != accepting {
		return
	}
	if !p.Granted {
		r.refuse(from, p.Promised)
		return
	}
	if r.accepted[from] = true; len(r.accepted) >= r.majority() {
		r.at = done
	}
}
