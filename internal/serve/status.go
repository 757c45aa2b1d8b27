package serve

import (
	"context"
	"time"
)

// statusInterval is the time between two log lines on the state of the node.
const statusInterval = 10 * time.Second

// logStatus logs the state of the node at each interval until ctx is done.
func (p *process) logStatus(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			p.logStatusOnce()
		}
	}
}

// logStatusOnce logs limits and memory by part, and what became of connections, requests, ops and pushes.
func (p *process) logStatusOnce() {
	p.log.Info().
		Object("memory", p.account).
		Object("clients", p.clientServer).
		Object("node", p.actor.Statistics()).
		Object("servers", p.serverPool).
		Msg("status")
}
