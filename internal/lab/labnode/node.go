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
const sampleInterval = 250 * policy.Millisecond

// Main is the node's process with a policy in the module's place and a rule broken, if they are named. It gives the
// exit code, and ends when its standard input does.
func Main(name, fault string) int {
	go func() { // Danger: a laboratory that was killed could not end its nodes; its end of the pipe closes with it
		io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	return serve.Main(serve.Options{
		Decider: func(c *config.Config) (policy.Decider, error) {
			decider, module, err := trial.New(name, fault, c.Rules, c.Seed)
			path := os.Getenv(ThrottleFileEnv)
			if err != nil || module == nil || path == "" {
				return decider, err
			}
			samples, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				return nil, err
			}
			return &throttleSampler{Decider: decider, module: module, serverNames: serverNames(), encoder: json.NewEncoder(samples)}, nil
		},
		Slack: func(settings policy.Micros) policy.Micros { return trial.Slack(fault, settings) },
	})
}

// sampler writes down the module's throttles now and then.
type throttleSampler struct {
	policy.Decider
	module      *policy.Node
	serverNames map[policy.ServerID]string
	encoder     *json.Encoder
	nextSample  policy.Micros
}

func (s *throttleSampler) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if now >= s.nextSample {
		s.nextSample = now + sampleInterval
		s.module.Throttles(func(server policy.ServerID, rate float64, cut int) {
			name := s.serverNames[server]
			if server == 0 {
				name = "all"
			}
			s.encoder.Encode(ThrottleSample{At: now, Server: name, Rate: rate, CutoffLevel: cut})
		})
	}
	return s.Decider.Step(now, in)
}

// mostServers is how many servers' numbers are known by name; a fleet on sockets is smaller.
const maxServers = 4096

// names are the text ids by the number that a node makes of each.
func serverNames() map[policy.ServerID]string {
	names := make(map[policy.ServerID]string)
	for i := range maxServers {
		names[ServerID(i)] = registry.ID(i)
	}
	return names
}

// ServerID is the number that nodes make of a server's text id.
func ServerID(index int) policy.ServerID {
	hash := fnv.New64a()
	fmt.Fprint(hash, registry.ID(index))
	return policy.ServerID(hash.Sum64() >> 16)
}
