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
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Replica, o.Replica))
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
const mostPast = 8

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
func NextValue(now *Value, c *Change) (next *Value, verdict Verdict, version Version) {
	v := Value{Key: c.Key, Version: 1, ID: c.ID, RequiredFormat: c.RequiredFormat, Patch: c.Patch}
	if now != nil {
		if now.ID == c.ID {
			return now, AlreadyChosen, now.Version
		}
		if i := slices.IndexFunc(now.History, func(p PastChange) bool { return p.ID == c.ID }); i >= 0 {
			return now, AlreadyChosen, now.History[i].Version
		}
		v.Version, v.PreviousPatch = now.Version+1, now.Patch
		v.History = append([]PastChange{{now.ID, now.Version}}, now.History[:min(len(now.History), mostPast-1)]...)
	}
	stands := v.Version - 1
	switch {
	case c.ExpectedVersion != nil && *c.ExpectedVersion != stands:
		return now, Conflict, stands
	case c.Rollback && (now == nil || now.PreviousPatch == nil):
		return now, NothingToRollBack, stands
	case c.Rollback:
		v.Patch = now.PreviousPatch
	}
	return &v, Chosen, v.Version
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
func (r *Register) Prepare(b Ballot) Reply {
	if b.Compare(r.Promised) < 0 {
		return Reply{Promised: r.Promised}
	}
	r.Promised = b
	return Reply{Granted: true, Promised: b, Accepted: r.Accepted, Value: r.Value}
}

// Accept takes a value, unless a later ballot has its promise.
func (r *Register) Accept(b Ballot, v *Value) Reply {
	if b.Compare(r.Promised) < 0 {
		return Reply{Promised: r.Promised}
	}
	r.Promised, r.Accepted, r.Value = b, b, v
	return Reply{Granted: true, Promised: b}
}

// Merge takes a chosen value in place of an older one.
func MergeNewer(known map[Key]*Value, v *Value) bool {
	if now := known[v.Key]; now != nil && now.Version >= v.Version {
		return false
	}
	known[v.Key] = v
	return true
}

// Same says that two values are one.
func Equal(a, b *Value) bool {
	return a.Key == b.Key && a.Version == b.Version && a.ID == b.ID && bytes.Equal(a.Patch, b.Patch)
}
