package memory

import (
	"runtime/metrics"

	"github.com/rs/zerolog"
)

// Account holds the pools of a process. It is the only owner of the memory that varies in size.
type Account struct {
	Plan    Plan
	Heads   *Pool // heads of requests, beyond what each connection has for small ones
	Bodies  *Pool // bodies of requests
	Answers *Pool // answers of servers until clients have taken them
}

// NewAccount returns the account of a plan. Each pool has room for the largest body at least.
func NewAccount(plan Plan, largestHead, largestBody int64) *Account {
	return &Account{
		Plan:    plan,
		Heads:   NewPool(plan.HeadBytes, largestHead),
		Bodies:  NewPool(plan.BodyBytes, largestBody),
		Answers: NewPool(plan.AnswerBytes, largestBody),
	}
}

// Names of the runtime's metrics.
const (
	runtimeTotalBytes    = "/memory/classes/total:bytes"
	runtimeReleasedBytes = "/memory/classes/heap/released:bytes"
	runtimeLiveBytes     = "/gc/heap/live:bytes"
	runtimeCollectCPU    = "/cpu/classes/gc/total:cpu-seconds"
	runtimeTotalCPU      = "/cpu/classes/total:cpu-seconds"
	runtimeIdleCPU       = "/cpu/classes/idle:cpu-seconds"
	runtimeCollections   = "/gc/cycles/total:gc-cycles"
)

// MarshalZerologObject writes the limits and what is used of them, and what the runtime spends on collecting garbage.
func (a *Account) MarshalZerologObject(line *zerolog.Event) {
	samples := []metrics.Sample{{Name: runtimeTotalBytes}, {Name: runtimeReleasedBytes}, {Name: runtimeLiveBytes},
		{Name: runtimeCollectCPU}, {Name: runtimeTotalCPU}, {Name: runtimeIdleCPU}, {Name: runtimeCollections}}
	metrics.Read(samples)
	line.Int64("limit", a.Plan.Limit).
		Int64("heap_limit", a.Plan.HeapLimit).
		Uint64("heap_used", samples[0].Value.Uint64()-samples[1].Value.Uint64()).
		Uint64("heap_live", samples[2].Value.Uint64()).
		Uint64("collections", samples[6].Value.Uint64()).
		Float64("collect_cpu_s", samples[3].Value.Float64()).
		Float64("cpu_s", samples[4].Value.Float64()-samples[5].Value.Float64()).
		Int64("kernel_limit", a.Plan.KernelBytes).
		Object("heads", a.Heads).
		Object("bodies", a.Bodies).
		Object("answers", a.Answers)
}
