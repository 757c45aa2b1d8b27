// Package store carries changes of configuration to the whole fleet. Three replicas hold a register for each key; a change comes in
// force with two of them, after CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): no leader, no log.
// Nodes watch one replica, take over what is newer, and tell what they run.
//
// register.go and round.go are pure: no I/O, clock or goroutine. replica.go and follower.go are the actors.
package store

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// Key names whom a change is for: "all", "service/NAME" or "node/NAME".
type Key string

// Version counts a key's changes, from 1.
type Version uint64

// Ballot orders attempts to change a key. Each replica's rounds go up and are never used twice.
type Ballot struct {
	Round   uint64 `json:"round"`
	Replica int    `json:"replica"`
}

// Compare orders ballots.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Replica, other.Replica))
}

// Change is what an operator asks for.
type Change struct {
	Key             Key             `json:"key"`
	ID              string          `json:"id"`              // the same change asked twice has the same
	ExpectedVersion *Version        `json:"from,omitempty"`  // it starts from this version; left out: from whichever stands
	RequiredFormat  int             `json:"needs,omitempty"` // form of configuration that a program must know
	Patch           json.RawMessage `json:"patch,omitempty"` // all that the key changes, in place of what it changed before
	Rollback        bool            `json:"back,omitempty"`  // the patch before the present one, in place of Patch
}

// Value is a version of a key.
type Value struct {
	Key            Key             `json:"key"`
	Version        Version         `json:"version"`
	ID             string          `json:"id"`
	RequiredFormat int             `json:"needs,omitempty"`
	Patch          json.RawMessage `json:"patch"`
	PreviousPatch  json.RawMessage `json:"before,omitempty"` // the patch before it, for the way back
	History        []PastChange    `json:"past,omitempty"`   // changes before it, the latest first
}

// Past is an earlier change.
type PastChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// mostPast changes before the present one are known again when they are asked for twice.
const maxHistory = 8

// Verdict is what becomes of a change.
type Verdict string

const (
	Chosen            Verdict = "chosen"   // it is in force, under the version told
	AlreadyChosen     Verdict = "known"    // it was in force already, under that version
	Conflict          Verdict = "conflict" // it starts from another version than the one that stands
	NothingToRollBack Verdict = "nothing"  // there is no way back from the first version
)

// Next makes of the value that stands, or of none, the one to propose. Where the change is not taken that is the same value again: an
// answer about what stands is true only once a majority has it.
func NextValue(current *Value, change *Change) (next *Value, verdict Verdict, version Version) {
	proposed := Value{Key: change.Key, Version: 1, ID: change.ID, RequiredFormat: change.RequiredFormat, Patch: change.Patch}
	if current != nil {
		if current.ID == change.ID {
			return current, AlreadyChosen, current.Version
		}
		if i := slices.IndexFunc(current.History, func(p PastChange) bool { return p.ID == change.ID }); i >= 0 {
			return current, AlreadyChosen, current.History[i].Version
		}
		proposed.Version, proposed.PreviousPatch = current.Version+1, current.Patch
		proposed.History = append([]PastChange{{current.ID, current.Version}}, current.History[:min(len(current.History), maxHistory-1)]...)
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

// Register is one replica's part of a key. What changes it must be on disk before it is told.
type Register struct {
	Promised Ballot `json:"promised"`
	Accepted Ballot `json:"accepted"`
	Value    *Value `json:"value,omitempty"` // accepted, perhaps not by a majority
}

// Promise answers a ballot: yes, and what was accepted before it; or no, and the ballot that is in the way.
type Reply struct {
	Granted  bool   `json:"yes"`
	Promised Ballot `json:"promised"`
	Accepted Ballot `json:"accepted"`
	Value    *Value `json:"value,omitempty"`
}

// Prepare promises to accept nothing of an earlier ballot. One that comes twice is answered twice.
func (r *Register) Prepare(ballot Ballot) Reply {
	if ballot.Compare(r.Promised) < 0 {
		return Reply{Promised: r.Promised}
	}
	r.Promised = ballot
	return Reply{Granted: true, Promised: ballot, Accepted: r.Accepted, Value: r.Value}
}

// Accept takes a value, unless a later ballot has its promise.
func (r *Register) Accept(ballot Ballot, value *Value) Reply {
	if ballot.Compare(r.Promised) < 0 {
		return Reply{Promised: r.Promised}
	}
	r.Promised, r.Accepted, r.Value = ballot, ballot, value
	return Reply{Granted: true, Promised: ballot}
}

// Merge takes a chosen value in place of an older one.
func MergeNewer(known map[Key]*Value, value *Value) bool {
	if current := known[value.Key]; current != nil && current.Version >= value.Version {
		return false
	}
	known[value.Key] = value
	return true
}

// Same says that two values are one.
func Equal(a, b *Value) bool {
	return a.Key == b.Key && a.Version == b.Version && a.ID == b.ID && bytes.Equal(a.Patch, b.Patch)
}
