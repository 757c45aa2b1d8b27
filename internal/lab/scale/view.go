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
const sampledViews = 20

// Views plays one size of the operators' view: a look at one node after another, how long it takes (for real nodes from the socket to
// its last byte read) and how much it is.
func MeasureViews(ctx context.Context, cluster Cluster, progress ProgressFunc) (point Point, err error) {
	nodes := cluster.Size()
	point = Point{Nodes: nodes, Values: map[string]float64{}, ClockSlowdown: cluster.SlowdownFactor()}
	if err = startSpread(ctx, cluster, sequence(0, nodes), members.ExchangeEvery(nodes)); err != nil {
		return point, err
	}
	if _, err = cluster.WaitForAgreement(ctx, sequence(0, nodes), agreeTimeout); err != nil {
		return point, err
	}
	timerLag := together.NewTimerLag()
	meanBytes, meanMs, maxMs := 0.0, 0.0, 0.0
	for i := range sampledViews {
		started := time.Now()
		view, err := cluster.View(ctx, i*nodes/sampledViews)
		if err != nil {
			return point, errors.Join(err, ctx.Err())
		}
		raw, err := json.Marshal(view)
		if err != nil {
			return point, err
		}
		ms := time.Since(started).Seconds() * 1000
		meanBytes, meanMs, maxMs = meanBytes+float64(len(raw))/sampledViews, meanMs+ms/sampledViews, max(maxMs, ms)
		if len(view.Members) != nodes-1 {
			return point, fmt.Errorf("node %d shows %d others of %d", i*nodes/sampledViews, len(view.Members), nodes-1)
		}
	}
	worstLag, meanLag := timerLag.Stop()
	point.Values["view_bytes"], point.Values["view_ms"], point.Values["view_most_ms"] = roundFigure(meanBytes), roundFigure(meanMs), roundFigure(maxMs)
	if meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
	}
	progress("%d nodes, a look at one: %.0f bytes, %.2f ms, %.2f at the most; rig late %v", nodes, meanBytes, meanMs, maxMs, worstLag.Round(time.Millisecond))
	return point, ctx.Err()
}
