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

// scaleCommand measures the cost of one part of the fleet at several sizes.
type scaleCommand struct {
	Role            string        `arg:"" help:"What is measured: members, judgements, view, changes, list, start or path." enum:"members,judgements,view,changes,list,start,path"`
	Nodes           []int         `help:"Sizes, one after another." default:"25,50,100"`
	Runs            int           `name:"plays" help:"Number of runs of each size." default:"3"`
	FirstRun        int           `name:"first" help:"Number of the first run: records keep one run of each size and number." default:"1"`
	Node            string        `help:"The program to run as nodes, one process each. Without it nodes are hollow: many run in this process." type:"existingfile" placeholder:"PATH"`
	ServicesPerNode int           `name:"called" help:"Services that a node calls, of eight servers each." default:"5"`
	PhaseDuration   time.Duration `name:"calm" help:"How long each phase is measured; the idle phase of members takes at least a minute." default:"10s"`
	ClockSlowdown   int           `name:"slow" help:"Factor that slows all clocks of hollow nodes that exchange peer messages; figures are per second of the slowed clock." default:"1"`
	Seed            uint64        `help:"Seed of all random numbers." default:"1"`
	RecordDir       string        `name:"out" help:"Directory of the records." default:"docs/capacity" placeholder:"DIR"`
}

const (
	maxProcessNodes   = 300
	maxInProcessNodes = 1000 // they take half of a machine's memory
	// maxClockSlowdown keeps the relay's own delays, which are in real time, above the delays that are slowed.
	maxClockSlowdown = 10
)

// Run measures each size several times and saves each measurement to the record. Before a size is measured, Run saves
// the values that the smaller sizes predict for it.
func (s *scaleCommand) Run(ctx context.Context) error {
	kind := scale.KindInProcess
	maxNodes := maxInProcessNodes
	if s.Node != "" {
		kind = scale.KindReal
		maxNodes = maxProcessNodes
	}
	if s.Role == "path" {
		maxNodes = 20
	}
	if err := scale.ValidateSizes(s.Nodes, maxNodes); err != nil {
		return err
	}
	if s.Runs < 1 || s.Runs > 10 || s.FirstRun < 1 || s.PhaseDuration < time.Second || s.PhaseDuration > time.Minute ||
		s.ServicesPerNode < 1 {
		return errors.New("--plays is from 1 to 10, --first and --called at least 1, --calm from 1s to 1m")
	}
	slowable := s.Role == "members" || s.Role == "judgements" || s.Role == "view"
	if s.ClockSlowdown < 1 || s.ClockSlowdown > maxClockSlowdown || s.ClockSlowdown > 1 && (!slowable || kind == scale.KindReal) {
		return fmt.Errorf("--slow is from 1 to %d, and for hollow nodes with members, judgements or view only", maxClockSlowdown)
	}
	name := s.Role
	if s.ServicesPerNode != 5 {
		name = fmt.Sprintf("%s%d", s.Role, s.ServicesPerNode)
	}
	record, err := scale.Load(s.RecordDir, name, kind)
	if err != nil {
		return err
	}
	arguments := fmt.Sprintf("%s --nodes N --plays %d --called %d --calm %v", s.Role, s.Runs, s.ServicesPerNode, s.PhaseDuration)
	record.Command = "canvaslab scale " + strings.Join(strings.Fields(arguments), " ")
	if kind == scale.KindReal {
		record.Command += " --node bin/canvasrouter"
	}
	record.Cores = runtime.NumCPU()
	fmt.Fprintf(os.Stderr, "%s, %s nodes of sizes %v, %d runs each: %s\n", s.Role, kind, s.Nodes, s.Runs, scale.ResourceEstimate(kind, s.Nodes))
	for _, nodes := range s.Nodes {
		if point := record.Predict(nodes); point != nil {
			fmt.Fprintf(os.Stderr, "%d nodes, predicted from %v: %v\n", nodes, point.FromSizes, point.Values)
			if err := record.Save(s.RecordDir); err != nil {
				return err
			}
		}
		for run := range s.Runs {
			point, err := s.measure(ctx, nodes, kind, s.Seed+uint64(run+s.FirstRun))
			if err != nil {
				return fmt.Errorf("%s, %d nodes: %w", s.Role, nodes, err)
			}
			point.Run = run + s.FirstRun
			record.Add(point)
			if err := record.Save(s.RecordDir); err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "%d nodes, run %d: %v %s\n", nodes, point.Run, point.Values, point.VoidReason)
		}
	}
	return nil
}

// measure measures the role once at one size.
func (s *scaleCommand) measure(ctx context.Context, nodes int, kind string, seed uint64) (point scale.Point, err error) {
	progress := func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	switch s.Role {
	case "list":
		if kind == scale.KindReal {
			return scale.MeasureListReal(ctx, s.Node, nodes, s.ServicesPerNode, s.PhaseDuration, seed, progress)
		}
		return scale.MeasureList(ctx, nodes, s.ServicesPerNode, s.PhaseDuration, seed, progress)
	case "changes":
		return scale.MeasureChanges(ctx, s.Node, nodes, s.PhaseDuration, seed, progress)
	case "start":
		return scale.MeasureStarts(ctx, s.Node, nodes, seed, progress)
	case "path":
		return scale.MeasureCallPath(ctx, s.Node, nodes, s.PhaseDuration, seed, progress)
	}
	var cluster scale.Cluster
	if kind == scale.KindReal {
		experiment, err := lab.ReadExperiment(experiments.Files, "fleet-steady")
		if err != nil {
			return point, err
		}
		cluster, err = scale.NewProcessCluster(s.Node, experiment, nodes, seed)
		if err != nil {
			return point, err
		}
	} else {
		retention := time.Duration(0)
		if s.Role == "members" {
			retention = scale.ScaledRetention
		}
		if cluster, err = scale.NewInProcessCluster(nodes, s.ServicesPerNode, retention, s.ClockSlowdown, seed); err != nil {
			return point, err
		}
	}
	defer func() { err = errors.Join(err, cluster.Close()) }()
	if s.Role == "judgements" {
		inProcess, isInProcess := cluster.(*scale.InProcessCluster)
		if !isInProcess {
			return point, errors.New("judgements are measured with hollow nodes only: leave --node out")
		}
		return scale.MeasureServerReports(ctx, inProcess, s.PhaseDuration, progress)
	}
	if s.Role == "view" {
		return scale.MeasureViews(ctx, cluster, progress)
	}
	return scale.MeasureMembers(ctx, cluster, s.PhaseDuration, progress)
}
