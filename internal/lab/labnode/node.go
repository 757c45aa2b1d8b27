// Package labnode runs a node for an experiment: the real node program with the decider that the experiment asks for,
// an optional injected fault, and a record of its throttles.
package labnode

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"os"

	"canvasrouter/internal/config"
	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/serve"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// ThrottleFileEnv is the environment variable with the path of the file that a node writes its throttle samples to.
// Without it nothing is written.
const ThrottleFileEnv = "CANVASLAB_THROTTLES"

// ThrottleSample is one line of the throttle file: the rate and cutoff level of one throttle at a moment.
type ThrottleSample struct {
	At          policy.Micros `json:"at"`
	Server      string        `json:"server"` // "all" for the throttle over all servers
	Rate        float64       `json:"rate"`
	CutoffLevel int           `json:"cut"`
}

// sampleInterval is the shortest time between two samples of the throttles.
const sampleInterval = 250 * policy.Millisecond

// Main runs the process of a node and returns its exit code. If name is not empty, the policy of that name replaces the
// module; if fault is not empty, that fault is injected. The process exits with code 3 when its standard input ends.
func Main(name, fault string) int {
	// A parent process that is killed can't stop its nodes, but its end of the pipe to standard input is closed then.
	go func() {
		io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	return serve.Main(serve.Options{
		NewDecider: func(settings *config.Config) (policy.Decider, error) {
			decider, module, err := deciders.New(name, fault, settings.Rules, settings.Seed)
			path := os.Getenv(ThrottleFileEnv)
			if err != nil || module == nil || path == "" {
				return decider, err
			}
			samples, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				return nil, err
			}
			return &throttleSampler{
				Decider:     decider,
				module:      module,
				serverNames: serverNames(),
				encoder:     json.NewEncoder(samples),
			}, nil
		},
		AdjustAnswerSlack: func(configured policy.Micros) policy.Micros { return deciders.AnswerSlack(fault, configured) },
	})
}

// throttleSampler is a decider that writes samples of the module's throttles while it steps.
type throttleSampler struct {
	policy.Decider
	module      *policy.Node
	serverNames map[policy.ServerID]string
	encoder     *json.Encoder
	nextSample  policy.Micros // time before which no sample is written
}

// Step writes a sample if one is due, and steps the decider.
func (s *throttleSampler) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if now >= s.nextSample {
		s.nextSample = now + sampleInterval
		s.module.VisitThrottles(func(server policy.ServerID, rate float64, cutoffLevel int) {
			name := s.serverNames[server]
			if server == 0 {
				name = "all"
			}
			s.encoder.Encode(ThrottleSample{At: now, Server: name, Rate: rate, CutoffLevel: cutoffLevel})
		})
	}
	return s.Decider.Step(now, in)
}

// maxServers is how many server ids serverNames knows. Fleets on sockets are smaller.
const maxServers = 4096

// serverNames maps the numeric server ids of nodes to the instance ids of the registry.
func serverNames() map[policy.ServerID]string {
	names := make(map[policy.ServerID]string)
	for i := range maxServers {
		names[ServerID(i)] = registry.InstanceID(i)
	}
	return names
}

// ServerID returns the numeric id that nodes derive from the instance id of the server with this index.
func ServerID(index int) policy.ServerID {
	hash := fnv.New64a()
	fmt.Fprint(hash, registry.InstanceID(index))
	return policy.ServerID(hash.Sum64() >> 16)
}
