package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"canvasrouter/internal/lab"
	"canvasrouter/internal/lab/scale"
	experiments "canvasrouter/lab"
)

type scaleCommand struct {
	Role   string        `arg:"" help:"What is measured: members, judgements, view, changes, list, start or path." enum:"members,judgements,view,changes,list,start,path"`
	Nodes  []int         `help:"Sizes, one after another." default:"25,50,100"`
	Plays  int           `help:"Plays of each size." default:"3"`
	First  int           `help:"Number of the first play: records keep one of each size and number." default:"1"`
	Node   string        `help:"The node's program: then nodes are processes of it. Left out they are hollow, many in this process." type:"existingfile" placeholder:"PATH"`
	Called int           `help:"Services that a node calls, of eight servers each." default:"5"`
	Calm   time.Duration `help:"How long each phase is counted; calm of members a minute at the least." default:"10s"`
	Slow   int           `help:"All clocks of hollow nodes that hear each other, by this factor; figures are told for a second of that clock." default:"1"`
	Seed   uint64        `help:"Of all chance." default:"1"`
	Out    string        `help:"Directory of the records." default:"docs/capacity" placeholder:"DIR"`
}

// most nodes of a kind: a few hundred processes, and a thousand hollow nodes in half of a machine's memory.
const (
	mostReal   = 300
	mostHollow = 1000
	// mostSlow keeps the relay's own waits, which are of real time, above those that are slowed.
	mostSlow = 10
)

// Run plays each size, writes down what smaller ones predict before it, and keeps what was measured.
func (s *scaleCommand) Run(ctx context.Context) error {
	kind, most := scale.KindInProcess, mostHollow
	if s.Node != "" {
		kind, most = scale.KindReal, mostReal
	}
	if s.Role == "path" {
		most = 20
	}
	if err := scale.ValidateSizes(s.Nodes, most); err != nil {
		return err
	}
	if s.Plays < 1 || s.Plays > 10 || s.First < 1 || s.Calm < time.Second || s.Calm > time.Minute || s.Called < 1 {
		return errors.New("--plays is from 1 to 10, --first and --called at least 1, --calm from 1s to 1m")
	}
	if slowed := s.Role == "members" || s.Role == "judgements" || s.Role == "view"; s.Slow < 1 || s.Slow > mostSlow || s.Slow > 1 && (!slowed || kind == scale.KindReal) {
		return fmt.Errorf("--slow is from 1 to %d, for hollow members, judgements and view alone", mostSlow)
	}
	name := s.Role
	if s.Called != 5 {
		name = fmt.Sprintf("%s%d", s.Role, s.Called)
	}
	record, err := scale.Load(s.Out, name, kind)
	if err != nil {
		return err
	}
	record.Command = "canvaslab scale " + strings.Join(strings.Fields(fmt.Sprintf("%s --nodes N --plays %d --called %d --calm %v", s.Role, s.Plays, s.Called, s.Calm)), " ")
	if kind == scale.KindReal {
		record.Command += " --node bin/canvasrouter"
	}
	record.Cores = runtime.NumCPU()
	fmt.Fprintf(os.Stderr, "%s, %s nodes of sizes %v, %d plays each: %s\n", s.Role, kind, s.Nodes, s.Plays, scale.ResourceEstimate(kind, s.Nodes))
	for _, nodes := range s.Nodes {
		if p := record.Predict(nodes); p != nil {
			fmt.Fprintf(os.Stderr, "%d nodes, predicted from %v: %v\n", nodes, p.FromSizes, p.Values)
			if err := record.Save(s.Out); err != nil {
				return err
			}
		}
		for play := range s.Plays {
			p, err := s.play(ctx, nodes, kind, s.Seed+uint64(play+s.First))
			if err != nil {
				return fmt.Errorf("%s, %d nodes: %w", s.Role, nodes, err)
			}
			p.Run = play + s.First
			record.Add(p)
			if err := record.Save(s.Out); err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "%d nodes, play %d: %v %s\n", nodes, p.Run, p.Values, p.VoidReason)
		}
	}
	return nil
}

func (s *scaleCommand) play(ctx context.Context, nodes int, kind string, seed uint64) (p scale.Point, err error) {
	tell := func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	switch s.Role {
	case "list":
		if kind == scale.KindReal {
			return scale.MeasureListReal(ctx, s.Node, nodes, s.Called, s.Calm, seed, tell)
		}
		return scale.MeasureList(ctx, nodes, s.Called, s.Calm, seed, tell)
	case "changes":
		return scale.MeasureChanges(ctx, s.Node, nodes, s.Calm, seed, tell)
	case "start":
		return scale.MeasureStarts(ctx, s.Node, nodes, seed, tell)
	case "path":
		return scale.MeasureCallPath(ctx, s.Node, nodes, s.Calm, seed, tell)
	}
	var c scale.Cluster
	if kind == scale.KindReal {
		experiment, err := lab.ReadExperiment(experiments.Files, "fleet-steady")
		if err != nil {
			return p, err
		}
		c, err = scale.NewProcessCluster(s.Node, experiment, nodes, seed)
		if err != nil {
			return p, err
		}
	} else {
		keep := time.Duration(0)
		if s.Role == "members" {
			keep = scale.ScaledRetention
		}
		if c, err = scale.NewInProcessCluster(nodes, s.Called, keep, s.Slow, seed); err != nil {
			return p, err
		}
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	if s.Role == "judgements" {
		of, hollow := c.(*scale.InProcessCluster)
		if !hollow {
			return p, errors.New("judgements are measured with hollow nodes: leave --node out")
		}
		return scale.MeasureServerReports(ctx, of, s.Calm, tell)
	}
	if s.Role == "view" {
		return scale.MeasureViews(ctx, c, tell)
	}
	return scale.MeasureMembers(ctx, c, s.Calm, tell)
}
