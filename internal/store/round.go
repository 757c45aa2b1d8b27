package store

// phase is what a round waits for.
type phase uint8

const (
	preparing phase = iota // promises
	accepting              // acceptances
	done                   // a majority has accepted
	preempted              // a later ballot is in the way
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
	Ballot        Ballot
	change        *Change
	replicas      int
	phase         phase
	promises      map[int]Reply
	acceptedBy    map[int]bool
	rejectedBy    map[int]bool
	highestBallot Ballot // the highest that was in the way
	value         *Value
	verdict       Verdict
	version       Version
}

// NewRound begins with a ballot that its replica has never used.
func NewRound(ballot Ballot, change *Change, replicas int) *Round {
	return &Round{Ballot: ballot, change: change, replicas: replicas, promises: map[int]Reply{}, acceptedBy: map[int]bool{}, rejectedBy: map[int]bool{}}
}

func (r *Round) majority() int { return r.replicas/2 + 1 }

// refuse counts a replica that has promised a later ballot.
func (r *Round) recordRejection(from int, ballot Ballot) {
	r.rejectedBy[from] = true
	if ballot.Compare(r.highestBallot) > 0 {
		r.highestBallot = ballot
	}
	if r.replicas-len(r.rejectedBy) < r.majority() {
		r.phase = preempted
	}
}

// Promised takes a replica's answer to the ballot.
func (r *Round) HandlePrepareReply(from int, reply Reply) {
	if _, answered := r.promises[from]; answered || r.rejectedBy[from] || r.phase != preparing {
		return
	}
	if !reply.Granted {
		r.recordRejection(from, reply.Promised)
		return
	}
	r.promises[from] = reply
	if len(r.promises) < r.majority() {
		return
	}
	// Danger: of what was accepted before, the latest may have been chosen; any other must give way to it.
	var latest Reply
	for _, reply := range r.promises {
		if reply.Value != nil && (latest.Value == nil || reply.Accepted.Compare(latest.Accepted) > 0) {
			latest = reply
		}
	}
	r.value, r.verdict, r.version = NextValue(latest.Value, r.change)
	r.phase, r.rejectedBy = accepting, map[int]bool{}
	if r.value == nil { // nothing stands, and the change makes nothing
		r.phase = done
	}
}

// Accepted takes a replica's answer to the value.
func (r *Round) HandleAcceptReply(from int, reply Reply) {
	if r.acceptedBy[from] || r.rejectedBy[from] || r.phase != accepting {
		return
	}
	if !reply.Granted {
		r.recordRejection(from, reply.Promised)
		return
	}
	if r.acceptedBy[from] = true; len(r.acceptedBy) >= r.majority() {
		r.phase = done
	}
}
