package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/lab/together"
)

// looks are how many nodes are looked at, spread over all.
const looks = 20

// Views plays one size of the operators' view: a look at one node after another, how long it takes (for real nodes from the socket to
// its last byte read) and how much it is.
func MeasureViews(ctx context.Context, c Cluster, tell ProgressFunc) (p Point, err error) {
	n := c.Size()
	p = Point{Nodes: n, Values: map[string]float64{}, ClockSlowdown: c.SlowdownFactor()}
	if err = startSpread(ctx, c, span(0, n), members.ExchangeInterval(n)); err != nil {
		return p, err
	}
	if _, err = c.WaitForAgreement(ctx, span(0, n), mostAgree); err != nil {
		return p, err
	}
	lag := together.NewTimerLag()
	bytes, took, most := 0.0, 0.0, 0.0
	for i := range looks {
		begun := time.Now()
		v, err := c.View(ctx, i*n/looks)
		if err != nil {
			return p, errors.Join(err, ctx.Err())
		}
		raw, err := json.Marshal(v)
		if err != nil {
			return p, err
		}
		ms := time.Since(begun).Seconds() * 1000
		bytes, took, most = bytes+float64(len(raw))/looks, took+ms/looks, max(most, ms)
		if len(v.Members) != n-1 {
			return p, fmt.Errorf("node %d shows %d others of %d", i*n/looks, len(v.Members), n-1)
		}
	}
	late, mean := lag.Stop()
	p.Values["view_bytes"], p.Values["view_ms"], p.Values["view_most_ms"] = round(bytes), round(took), round(most)
	if mean > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", mean.Round(time.Millisecond))
	}
	tell("%d nodes, a look at one: %.0f bytes, %.2f ms, %.2f at the most; rig late %v", n, bytes, took, most, late.Round(time.Millisecond))
	return p, ctx.Err()
}
