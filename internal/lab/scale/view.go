package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/lab/harness"
)

// sampledViews is the number of nodes whose view is fetched, spread evenly over all nodes.
const sampledViews = 20

// MeasureViews measures the operators' view at one size. It fetches the views of sampled nodes one after another, and
// records their size and how long each takes; for real nodes that is until the last byte is read from the control socket.
func MeasureViews(ctx context.Context, cluster Cluster, progress ProgressFunc) (point Point, err error) {
	nodes := cluster.Size()
	point = Point{Nodes: nodes, Values: map[string]float64{}, ClockSlowdown: cluster.SlowdownFactor()}
	if err = startSpread(ctx, cluster, sequence(0, nodes), members.ExchangeInterval(nodes)); err != nil {
		return point, err
	}
	if _, err = cluster.WaitForAgreement(ctx, sequence(0, nodes), agreeTimeout); err != nil {
		return point, err
	}
	timerLag := harness.NewTimerLag()
	meanBytes := 0.0
	meanMs := 0.0
	maxMs := 0.0
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
		meanBytes = meanBytes + float64(len(raw))/sampledViews
		meanMs = meanMs + ms/sampledViews
		maxMs = max(maxMs, ms)
		if len(view.Members) != nodes-1 {
			return point, fmt.Errorf("node %d shows %d peers, want %d", i*nodes/sampledViews, len(view.Members), nodes-1)
		}
	}
	worstLag, meanLag := timerLag.Stop()
	point.Values["view_bytes"] = roundFigure(meanBytes)
	point.Values["view_ms"] = roundFigure(meanMs)
	point.Values["view_most_ms"] = roundFigure(maxMs)
	if meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
	}
	progress("%d nodes, view of one node: %.0f bytes, %.2f ms in the mean, %.2f ms at most; harness late by up to %v", nodes, meanBytes, meanMs, maxMs, worstLag.Round(time.Millisecond))
	return point, ctx.Err()
}
