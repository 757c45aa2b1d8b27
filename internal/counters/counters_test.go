package counters

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// TestSet checks that reasons are counted apart, logged once in an interval, and limited in number.
func TestSet(t *testing.T) {
	var set Set
	var out bytes.Buffer
	log := zerolog.New(&out)
	for range 3 {
		set.Log(log.Warn(), "full", "refused", func(line *zerolog.Event) { line.Str("id", "a") })
	}
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, `"id":"a","reason":"full","total":1,"message":"refused"`) {
		t.Errorf("logged %s", got)
	}
	if got := set.Count("full"); got != 3 {
		t.Errorf("counted %d", got)
	}
	for i := range 2 * maxReasons {
		set.Add(fmt.Sprint("reason ", i))
	}
	if len(set.byReason) > maxReasons+1 || set.Count(otherReason) == 0 {
		t.Errorf("%d reasons, %d others", len(set.byReason), set.Count(otherReason))
	}
}
