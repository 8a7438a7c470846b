// Package scale measures the serving system at sizes that no bench here has: real cores, agents and proxies
// beside hollow agents and workers, which share this process and speak the real protocols over loopback. It
// gives rows for the capacity page. It belongs to the laboratory: no program of the system imports it.
package scale

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/lab/capacity"
	"willowdeck/internal/serving/loadbalancer"
)

// Options say what is played.
type Options struct {
	Run, Commit string
	Binaries    string // folder of the three programs
	Sizes       []Size
	Window      time.Duration // at rest, over which processor time and bytes are measured
	Changes     int           // of the configuration, one after the other
	Progress    func(size Size, figures []Figure)
}

// Size is one size of the system.
type Size struct {
	Edges, Workers, Routes int
}

// Figure is one measured value.
type Figure struct {
	Role, Name, Unit string
	Value            float64
}

const (
	// distribution is what the capacity tables take for the way that is there today.
	distribution = "direct"

	cores       = 5
	realEdges   = 4
	regions     = 16
	zones       = 51
	heartbeat   = 1200 * time.Millisecond
	readyWithin = 40 * time.Second
	settle      = 3 * time.Second
	inForceMost = 30 * time.Second
)

// Run plays each size and returns its rows.
func Run(ctx context.Context, options Options) ([]capacity.Row, error) {
	var rows []capacity.Row
	for _, size := range options.Sizes {
		figures, err := play(ctx, options, size)
		if err != nil {
			return nil, errors.Wrapf(err, "at %d edges and %d workers", size.Edges, size.Workers)
		}
		for _, figure := range figures {
			rows = append(rows, capacity.Row{
				Run: options.Run, Commit: options.Commit, Distribution: distribution, Size: float64(size.Edges),
				Role: figure.Role, Figure: figure.Name, Unit: figure.Unit, Value: figure.Value,
			})
		}
		if options.Progress != nil {
			options.Progress(size, figures)
		}
	}
	return rows, nil
}

// play measures one size. All processes have ended when it returns.
func play(ctx context.Context, options Options, size Size) (figures []Figure, err error) {
	folder, err := os.MkdirTemp("", "willowdeck-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &system{folder: folder, binaries: options.Binaries, size: size}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	generation := 1
	if err := s.order(ctx, 0, generation); err != nil {
		return nil, err
	}
	fleet := newFleet(s, size)
	defer fleet.stop()
	fleet.start(ctx)
	if err := fleet.awaitReady(ctx, generation); err != nil {
		return nil, err
	}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	figures, err = measureRest(ctx, s, fleet, options.Window)
	if err != nil {
		return nil, err
	}
	figures = append(figures, measureChoice(size))
	changes, err := measureChanges(ctx, s, fleet, generation, options.Changes)
	if err != nil {
		return nil, err
	}
	return append(figures, changes...), nil
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}

// measureRest measures what the processes use while nothing changes but heartbeats.
func measureRest(ctx context.Context, s *system, fleet *fleet, window time.Duration) ([]Figure, error) {
	before := s.usage()
	bytesBefore, beatsBefore := fleet.bytes.Load(), fleet.beats.Load()
	begun := time.Now()
	if err := pause(ctx, window); err != nil {
		return nil, err
	}
	seconds := time.Since(begun).Seconds()
	after := s.usage()
	var figures []Figure
	for _, role := range []string{roleCore, roleAgent, roleEdge} {
		busiest, memory, files := 0.0, 0.0, 0.0
		for name, use := range after {
			if use.role != role {
				continue
			}
			busiest = max(busiest, (use.cpuSeconds-before[name].cpuSeconds)/seconds*100)
			memory = max(memory, use.memoryMB)
			files = max(files, use.files)
		}
		figures = append(figures,
			Figure{role, "rest_cpu", "% of a core", busiest},
			Figure{role, "memory", "MB", memory},
			Figure{role, "files", "", files})
	}
	hollow := float64(fleet.agents())
	figures = append(figures,
		Figure{roleAgent, "rest_bytes_in", "B/s", float64(fleet.bytes.Load()-bytesBefore) / seconds / hollow},
		Figure{roleCore, "heartbeats", "/s", float64(fleet.beats.Load()-beatsBefore) / seconds / cores},
		Figure{roleCore, "heartbeats_failed", "", float64(fleet.failed.Load())})
	return figures, nil
}

// measureChanges changes the configuration again and again, and one worker's state beside it.
func measureChanges(
	ctx context.Context, s *system, fleet *fleet, generation, changes int,
) ([]Figure, error) {
	var times []float64
	bytesBefore := fleet.bytes.Load()
	for range changes {
		next := generation + 1
		if err := s.order(ctx, generation, next); err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		generation = next
		if err := fleet.awaitGeneration(ctx, uint64(generation)); err != nil {
			return nil, err
		}
		times = append(times, max(time.Since(acknowledged).Seconds(), 0.0001))
	}
	bytes := float64(fleet.bytes.Load()-bytesBefore) / float64(fleet.agents()) / float64(changes)
	drain, err := fleet.drainOne(ctx)
	if err != nil {
		return nil, err
	}
	slices.Sort(times)
	return []Figure{
		{"system", "in_force_median", "s", times[len(times)/2]},
		{"system", "in_force_worst", "s", times[len(times)-1]},
		{"system", "drain_told", "s", drain},
		{roleAgent, "change_bytes", "B", bytes},
		{roleCore, "segment", "MB", s.segmentMB()},
	}, nil
}

// measureChoice measures what the choice of a worker takes, among the workers of one model.
func measureChoice(size Size) Figure {
	const choices = 400
	candidates := make([]loadbalancer.Worker, max(size.Workers/models, 1))
	for i := range candidates {
		candidates[i] = loadbalancer.Worker{
			Instance: workerName(i), Zone: zoneName(i), Region: regionName(i), Capacity: 64, Engine: true,
		}
	}
	balancer := loadbalancer.New(zoneName(0), regionName(0), rand.New(rand.NewSource(1)))
	begun := time.Now()
	for i := range choices {
		request := &loadbalancer.Request{
			Parts: loadbalancer.ParsePrompt(fmt.Sprintf("a:500,b%d:4800,c%d:6000", i%50, i)),
		}
		balancer.Choose(time.Duration(i)*time.Millisecond, request, candidates)
	}
	return Figure{roleEdge, "choice", "ms", float64(time.Since(begun).Microseconds()) / 1000 / choices}
}

// configurationOf makes a configuration of a generation: one route differs from generation to generation.
func configurationOf(size Size, generation int) []byte {
	text := fmt.Sprintf(`{"generation":%d,"routes":[`, generation)
	for i := range size.Routes {
		timeout := 12000
		if i == generation%size.Routes {
			timeout += generation
		}
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":"r%d","hostname":"h%d.example","path_prefix":"/p%d/",`+
			`"route_type":"streaming","timeout_ms":%d,"target_latency_ms":490,"priority":1,"backend":"s%d",`+
			`"max_attempts":2,"session_affinity":true,"resumable":true,"gap_aim_ms":30,"allowed_regions":[]}`,
			i, i%40, i, timeout, i%models)
	}
	text += `],"services":[`
	for i := range models {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":"s%d","health_check_path":"/healthz","max_connections":360,`+
			`"cold_start_s":3,"cold_per_s":10,"engine":{"capacity":64}}`, i)
	}
	return []byte(text + `],"limits":{"max_body_bytes":4194304}}`)
}
