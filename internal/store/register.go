// Package store distributes configuration changes to all nodes of a fleet.
//
// A small set of replicas (usually three) holds one register per key. A change is chosen once a majority of the
// replicas has accepted it, according to CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs",
// 2018), which needs neither a leader nor a log. Each node watches one replica, receives newer values from it and
// reports back which versions it has applied.
//
// The protocol itself, in register.go and round.go, is pure: it does no I/O, reads no clock and starts no
// goroutine. Replica and Follower, in replica.go and follower.go, are the actors that run it over HTTP.
package store

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// Key names the nodes that a change applies to: "all", "service/NAME" or "node/NAME".
type Key string

// Version counts the changes of one key, starting at 1. Version 0 means that the key has no value yet.
type Version uint64

// Ballot identifies and orders the attempts to change a key. The round numbers that a replica uses increase and are
// never reused.
type Ballot struct {
	Round   uint64 `json:"round"`
	Replica int    `json:"replica"`
}

// Compare orders ballots by round, then by replica. It returns a negative number if b is the earlier ballot, zero if
// the two are equal and a positive number otherwise.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Replica, other.Replica))
}

// Change is an operator's request to change the value of a key.
type Change struct {
	Key             Key             `json:"key"`
	ID              string          `json:"id"`              // chosen by the client; a repeated request carries the same ID
	ExpectedVersion *Version        `json:"from,omitempty"`  // must be the current version; nil accepts any
	RequiredFormat  int             `json:"needs,omitempty"` // configuration format that a node must support
	Patch           json.RawMessage `json:"patch,omitempty"` // complete patch of the key; replaces the previous one
	Rollback        bool            `json:"back,omitempty"`  // restore the previous patch; Patch is then empty
}

// Value is one version of a key.
type Value struct {
	Key            Key             `json:"key"`
	Version        Version         `json:"version"`
	ID             string          `json:"id"`
	RequiredFormat int             `json:"needs,omitempty"`
	Patch          json.RawMessage `json:"patch"`
	PreviousPatch  json.RawMessage `json:"before,omitempty"` // patch of the version before, for a rollback
	History        []PastChange    `json:"past,omitempty"`   // earlier changes, latest first
}

// PastChange identifies an earlier change of a key.
type PastChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// maxHistory is how many changes before the current one a value remembers. A repeated request for one of them is
// recognized and not carried out again.
const maxHistory = 8

// Verdict is the outcome of a change request.
type Verdict string

const (
	Chosen            Verdict = "chosen"   // the change is chosen, as the returned version
	AlreadyChosen     Verdict = "known"    // the change had been chosen before, as the returned version
	Conflict          Verdict = "conflict" // the current version is not the expected one
	NothingToRollBack Verdict = "nothing"  // there is no earlier patch to restore
)

// NextValue applies a change to the current value, or to nil if the key has none, and returns the value to propose.
// If the change is not carried out, the current value is proposed again, because what is reported about it holds only
// once a majority has accepted it. The returned version is that of the change if it is or was chosen, and
// otherwise the current version.
func NextValue(current *Value, change *Change) (next *Value, verdict Verdict, version Version) {
	proposed := Value{Key: change.Key, Version: 1, ID: change.ID, RequiredFormat: change.RequiredFormat, Patch: change.Patch}
	if current != nil {
		if current.ID == change.ID {
			return current, AlreadyChosen, current.Version
		}
		if i := slices.IndexFunc(current.History, func(p PastChange) bool { return p.ID == change.ID }); i >= 0 {
			return current, AlreadyChosen, current.History[i].Version
		}
		proposed.Version = current.Version + 1
		proposed.PreviousPatch = current.Patch
		kept := current.History[:min(len(current.History), maxHistory-1)]
		proposed.History = append([]PastChange{{current.ID, current.Version}}, kept...)
	}
	currentVersion := proposed.Version - 1
	switch {
	case change.ExpectedVersion != nil && *change.ExpectedVersion != currentVersion:
		return current, Conflict, currentVersion
	case change.Rollback && (current == nil || current.PreviousPatch == nil):
		return current, NothingToRollBack, currentVersion
	case change.Rollback:
		proposed.Patch = current.PreviousPatch
	}
	return &proposed, Chosen, proposed.Version
}

// Register is the state that one replica keeps for a key, the acceptor of CASPaxos. A changed register must be on disk
// before the reply is sent.
type Register struct {
	Promised Ballot `json:"promised"`
	Accepted Ballot `json:"accepted"`
	Value    *Value `json:"value,omitempty"` // accepted here, possibly not by a majority
}

// Reply answers a prepare or accept request. A granted prepare carries the value that was accepted last and its
// ballot; a rejection carries the later ballot that was promised.
type Reply struct {
	Granted  bool   `json:"yes"`
	Promised Ballot `json:"promised"`
	Accepted Ballot `json:"accepted"`
	Value    *Value `json:"value,omitempty"`
}

// Prepare promises to accept nothing from an earlier ballot, and rejects a ballot earlier than the one promised. A
// repeated request gets the same reply.
func (r *Register) Prepare(ballot Ballot) Reply {
	if ballot.Compare(r.Promised) < 0 {
		return Reply{Promised: r.Promised}
	}
	r.Promised = ballot
	return Reply{Granted: true, Promised: ballot, Accepted: r.Accepted, Value: r.Value}
}

// Accept stores a value, unless a later ballot has been promised.
func (r *Register) Accept(ballot Ballot, value *Value) Reply {
	if ballot.Compare(r.Promised) < 0 {
		return Reply{Promised: r.Promised}
	}
	r.Promised = ballot
	r.Accepted = ballot
	r.Value = value
	return Reply{Granted: true, Promised: ballot}
}

// MergeNewer stores a chosen value unless an equally new or newer version of its key is known. It reports whether the
// value was stored.
func MergeNewer(known map[Key]*Value, value *Value) bool {
	if current := known[value.Key]; current != nil && current.Version >= value.Version {
		return false
	}
	known[value.Key] = value
	return true
}

// Equal reports whether two values are the same version of a key with the same content.
func Equal(a, b *Value) bool {
	return a.Key == b.Key && a.Version == b.Version && a.ID == b.ID && bytes.Equal(a.Patch, b.Patch)
}
