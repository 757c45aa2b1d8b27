// Package labnode is a node of the laboratory: the real one, with the decider that an experiment wants.
package labnode

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"os"

	"canvasrouter/internal/config"
	"canvasrouter/internal/lab/trial"
	"canvasrouter/internal/serve"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// SamplesEnv names the file that a node of the laboratory writes its throttles to.
const ThrottleFileEnv = "CANVASLAB_THROTTLES"

// Sample is one line of that file.
type ThrottleSample struct {
	At          policy.Micros `json:"at"`
	Server      string        `json:"server"`
	Rate        float64       `json:"rate"`
	CutoffLevel int           `json:"cut"`
}

// sampleEvery is how often a node writes down its throttles.
const sampleEvery = 250 * policy.Millisecond

// Main is the node's process with a policy in the module's place and a rule broken, if they are named. It gives the
// exit code, and ends when its standard input does.
func Main(name, fault string) int {
	go func() { // Danger: a laboratory that was killed could not end its nodes; its end of the pipe closes with it
		io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	return serve.Main(serve.Options{
		NewDecider: func(c *config.Config) (policy.Decider, error) {
			d, module, err := trial.New(name, fault, c.Rules, c.Seed)
			file := os.Getenv(ThrottleFileEnv)
			if err != nil || module == nil || file == "" {
				return d, err
			}
			out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				return nil, err
			}
			return &sampler{Decider: d, module: module, names: names(), lines: json.NewEncoder(out)}, nil
		},
		AdjustAnswerSlack: func(settings policy.Micros) policy.Micros { return trial.AnswerSlack(fault, settings) },
	})
}

// sampler writes down the module's throttles now and then.
type sampler struct {
	policy.Decider
	module *policy.Node
	names  map[policy.ServerID]string
	lines  *json.Encoder
	next   policy.Micros
}

func (s *sampler) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if now >= s.next {
		s.next = now + sampleEvery
		s.module.VisitThrottles(func(server policy.ServerID, rate float64, cut int) {
			name := s.names[server]
			if server == 0 {
				name = "all"
			}
			s.lines.Encode(ThrottleSample{At: now, Server: name, Rate: rate, CutoffLevel: cut})
		})
	}
	return s.Decider.Step(now, in)
}

// mostServers is how many servers' numbers are known by name; a fleet on sockets is smaller.
const mostServers = 4096

// names are the text ids by the number that a node makes of each.
func names() map[policy.ServerID]string {
	out := make(map[policy.ServerID]string)
	for i := range mostServers {
		out[ServerID(i)] = registry.InstanceID(i)
	}
	return out
}

// ServerID is the number that nodes make of a server's text id.
func ServerID(place int) policy.ServerID {
	h := fnv.New64a()
	fmt.Fprint(h, registry.InstanceID(place))
	return policy.ServerID(h.Sum64() >> 16)
}
