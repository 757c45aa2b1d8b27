package store

// phase is the stage of a round.
type phase uint8

const (
	preparing phase = iota // waiting for promises
	accepting              // waiting for acceptances
	done                   // a majority has accepted the value
	preempted              // later ballots make a majority impossible
)

// Round is one attempt to change a key, the proposer of CASPaxos. A majority of promises moves it from preparing to
// accepting, a majority of acceptances from there to done. It is preempted once so many replicas have rejected the
// ballot that a majority is no longer possible.
//
//	phase      input                             effect                              next
//	preparing  promise that makes a majority     next value built from the latest    accepting
//	preparing  rejection, no majority possible                                       preempted
//	accepting  acceptance that makes a majority  value is chosen                     done
//	accepting  rejection, no majority possible                                       preempted
//	any        second reply of a replica         ignored                             unchanged
//
// A round whose change results in no value is done as soon as a majority has promised.
type Round struct {
	Ballot        Ballot
	change        *Change
	replicas      int
	phase         phase
	promises      map[int]Reply
	acceptedBy    map[int]bool
	rejectedBy    map[int]bool
	highestBallot Ballot // highest ballot seen in a rejection
	value         *Value
	verdict       Verdict
	version       Version
}

// NewRound returns a round in the preparing phase. Its ballot must be one that its replica has never used before.
func NewRound(ballot Ballot, change *Change, replicas int) *Round {
	return &Round{
		Ballot:     ballot,
		change:     change,
		replicas:   replicas,
		promises:   map[int]Reply{},
		acceptedBy: map[int]bool{},
		rejectedBy: map[int]bool{},
	}
}

func (r *Round) majority() int { return r.replicas/2 + 1 }

// recordRejection counts a replica that has promised a later ballot.
func (r *Round) recordRejection(from int, ballot Ballot) {
	r.rejectedBy[from] = true
	if ballot.Compare(r.highestBallot) > 0 {
		r.highestBallot = ballot
	}
	if r.replicas-len(r.rejectedBy) < r.majority() {
		r.phase = preempted
	}
}

// HandlePrepareReply processes a replica's reply to the prepare request.
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
	// The value accepted under the highest ballot may already be chosen. Building on any other value would overwrite a
	// chosen one.
	var latest Reply
	for _, reply := range r.promises {
		if reply.Value != nil && (latest.Value == nil || reply.Accepted.Compare(latest.Accepted) > 0) {
			latest = reply
		}
	}
	r.value, r.verdict, r.version = NextValue(latest.Value, r.change)
	r.phase = accepting
	r.rejectedBy = map[int]bool{}
	if r.value == nil { // the key has no value and the change creates none
		r.phase = done
	}
}

// HandleAcceptReply processes a replica's reply to the accept request.
func (r *Round) HandleAcceptReply(from int, reply Reply) {
	if r.acceptedBy[from] || r.rejectedBy[from] || r.phase != accepting {
		return
	}
	if !reply.Granted {
		r.recordRejection(from, reply.Promised)
		return
	}
	r.acceptedBy[from] = true
	if len(r.acceptedBy) >= r.majority() {
		r.phase = done
	}
}
