package main

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Why a request needs no answer.
const (
	excuseLeft    = "left"
	excuseNoConn  = "no connection"
	excuseKept    = "crossed the end of a kept connection"
	excuseRestart = "shut unread in a restart"
	excuseCrowd   = "shut unread in a crowd"
)

// soakAttempt is a request that came whole to a server.
type soakAttempt struct {
	at   time.Time // of its first byte or, if that is not known, its last
	cell int
}

// soakRequest is what clients and servers saw of one request.
type soakRequest struct {
	keyed    bool
	sentAt   time.Time
	waits    time.Duration
	answerAt time.Time // zero: none
	status   int
	closedAt time.Time // when its client closed its connection; zero: it did not
	excused  string    // why it needs no answer; empty: it does
	attempts []soakAttempt
}

// soakRecord holds all requests of one run.
type soakRecord struct {
	plan       soakPlan
	mu         sync.Mutex // guards the fields below
	requests   map[string]*soakRequest
	terminated time.Time // when a planned restart began that is not over; zero: none
}

// newSoakRecord returns an empty record.
func newSoakRecord(plan soakPlan) *soakRecord {
	return &soakRecord{plan: plan, requests: make(map[string]*soakRequest)}
}

// setRestarting records that a planned restart begins or is over.
func (r *soakRecord) setRestarting(restarting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.terminated = time.Time{}
	if restarting {
		r.terminated = time.Now()
	}
}

// mayBeShut reports whether a connection may be shut unread that is opened now, since the node restarts and clients have been told.
func (r *soakRecord) mayBeShut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.terminated.IsZero() && time.Since(r.terminated) > newConnsAfterTerm
}

// change changes the record of a request.
func (r *soakRecord) change(id string, change func(*soakRequest)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requests[id]
	if request == nil {
		request = &soakRequest{}
		r.requests[id] = request
	}
	change(request)
}

// summary counts the requests.
func (r *soakRecord) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses, excused, attempts := map[int]int{}, map[string]int{}, 0
	for _, request := range r.requests {
		if request.sentAt.IsZero() {
			continue // of a bad client
		}
		attempts += len(request.attempts)
		if request.status > 0 {
			statuses[request.status]++
		} else {
			excused[request.excused]++
		}
	}
	return fmt.Sprintf("answers %v, without %v, %d attempts", statuses, excused, attempts)
}

// check reports what breaks a rule. late is how late this process was itself.
func (r *soakRecord) check(t *testing.T, late time.Duration) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if late > maxCrowdLag {
		t.Logf("void: this process was late by %v", late)
		return
	}
	for id, request := range r.requests {
		if request.sentAt.IsZero() {
			continue
		}
		if limit := request.sentAt.Add(request.waits + lateAnswer + late); request.excused == "" && (request.answerAt.IsZero() || request.answerAt.After(limit)) {
			t.Errorf("%s: lost: no answer within %v, status %d after %v", id, request.waits, request.status, request.answerAt.Sub(request.sentAt))
		}
		if excuse := request.excused; len(request.attempts) > 0 && (excuse == excuseRestart || excuse == excuseCrowd) {
			t.Errorf("%s: lost: it was sent on, and its connection was shut with no answer", id)
		}
		r.checkAttempts(t, id, request, late)
	}
}

// checkAttempts reports attempts that begin after the client has left, and repeats against the terms of the window.
func (r *soakRecord) checkAttempts(t *testing.T, id string, request *soakRequest, late time.Duration) {
	t.Helper()
	for i, attempt := range request.attempts {
		if closed := request.closedAt; !closed.IsZero() && attempt.at.Sub(closed) > lateBegin+late {
			t.Errorf("%s: attempt %d came %v after its client had closed", id, i, attempt.at.Sub(closed))
		}
		if i == 0 || !request.keyed {
			continue
		}
		first := request.attempts[0]
		if gap := attempt.at.Sub(first.at); gap > r.plan.window+windowSlack+late {
			t.Errorf("%s: attempt %d came %v after the first, with a window of %v", id, i, gap, r.plan.window)
		}
		if attempt.cell != first.cell {
			t.Errorf("%s: attempt %d came in cell %d, the first in %d", id, i, attempt.cell, first.cell)
		}
	}
}
