package scale

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/testkit/ports"
)

// Roles of processes.
const (
	roleCore  = "core"
	roleAgent = "agent"
	roleEdge  = "edge proxy"

	models        = 23
	ticksPerS     = 100.0 // of /proc's processor times
	portsNeeded   = 8
	controlOffset = 4 // from the first internal port
)

// system is the real processes of one size.
type system struct {
	folder, binaries string
	size             Size
	first            int // internal port
	giveBack         func()
	processes        []*process
}

type process struct {
	name, role string
	command    *exec.Cmd
	dataDir    string
}

func coreIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func edgeIP(i int) string { return fmt.Sprintf("127.0.2.%d", i+1) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

func regionName(zone int) string { return fmt.Sprintf("region-%d", zone%zones%regions) }

func (s *system) internalAddress(core int) string {
	return net.JoinHostPort(coreIP(core), strconv.Itoa(s.first))
}

func (s *system) controlAddress(core int) string {
	return net.JoinHostPort(coreIP(core), strconv.Itoa(s.first+controlOffset))
}

func (s *system) start() error {
	first, giveBack, err := ports.Take(portsNeeded)
	if err != nil {
		return err
	}
	s.first, s.giveBack = first, giveBack
	for i := range cores {
		if err := s.launch("core-"+strconv.Itoa(i), roleCore, "willowdeck-core", coreIP(i), i*10); err != nil {
			return err
		}
	}
	for i := range realEdges {
		name := "edge-" + strconv.Itoa(i)
		if err := s.launch(name, roleEdge, "willowdeck-edge", edgeIP(i), i*10); err != nil {
			return err
		}
		if err := s.launch(name+"-agent", roleAgent, "willowdeck-agent", edgeIP(i), i*10); err != nil {
			return err
		}
	}
	return nil
}

// launch starts one program with settings of its own.
func (s *system) launch(name, role, program, ip string, zone int) error {
	p := &process{name: name, role: role}
	lines := []string{
		"node_name=" + strings.TrimSuffix(name, "-agent"), "ip=" + ip, "zone=" + zoneName(zone),
		"region=" + regionName(zone), "bootstrap=true",
		fmt.Sprintf("internal_port_range=%d,%d", s.first, s.first+portsNeeded-1),
		fmt.Sprintf("heartbeat_ms=%d", heartbeat.Milliseconds()),
	}
	for i := range zones {
		lines = append(lines, "zones."+zoneName(i)+"="+regionName(i))
	}
	seeds := make([]string, 3)
	for i := range seeds {
		seeds[i] = s.controlAddress(i)
	}
	lines = append(lines, "seeds="+strings.Join(seeds, ","))
	port := func(offset int) string { return net.JoinHostPort(ip, strconv.Itoa(s.first+offset)) }
	if role == roleCore {
		p.dataDir = filepath.Join(s.folder, name)
		lines = append(lines, "data_dir="+p.dataDir, "listen.control_plane="+port(controlOffset),
			"listen.directory="+port(controlOffset+1))
	} else {
		lines = append(lines, "listen.front="+port(controlOffset+2), "listen.readiness="+port(controlOffset+3))
	}
	path := filepath.Join(s.folder, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(filepath.Join(s.binaries, program), "-settings", path)
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "cannot start %s: build the programs into %s first", program, s.binaries)
	}
	s.processes = append(s.processes, p)
	return nil
}

// stop ends all processes.
func (s *system) stop() {
	for _, p := range s.processes {
		p.command.Process.Kill()
		p.command.Wait()
	}
	if s.giveBack != nil {
		s.giveBack()
	}
}

// order sends a configuration until it is taken.
func (s *system) order(ctx context.Context, base, generation int) error {
	body := configurationOf(s.size, generation)
	deadline := time.Now().Add(readyWithin)
	for i := 0; time.Now().Before(deadline); i++ {
		status, err := s.post(ctx, i%cores, base, body)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status < http.StatusInternalServerError:
			return errors.Errorf("generation %d is refused with %d", generation, status)
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Errorf("generation %d was not taken within %v", generation, readyWithin)
}

func (s *system) post(ctx context.Context, core, base int, body []byte) (int, error) {
	address := "http://" + s.controlAddress(core) + "/Config.Replace"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Base-Version", strconv.Itoa(base))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// use is what a process has used so far, and holds.
type use struct {
	role       string
	cpuSeconds float64
	memoryMB   float64
	files      float64
}

func (s *system) usage() map[string]use {
	list := map[string]use{}
	for _, p := range s.processes {
		list[p.name] = use{
			role: p.role, cpuSeconds: cpuSeconds(p.command.Process.Pid),
			memoryMB: memoryMB(p.command.Process.Pid), files: openFiles(p.command.Process.Pid),
		}
	}
	return list
}

// cpuSeconds reads user and system time from /proc/PID/stat (fields 14 and 15; proc(5)).
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerS
}

func memoryMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

func openFiles(pid int) float64 {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return float64(len(entries))
}

// segmentMB is the largest log on a core's disk.
func (s *system) segmentMB() float64 {
	largest := 0.0
	for _, p := range s.processes {
		entries, err := os.ReadDir(p.dataDir)
		if p.dataDir == "" || err != nil {
			continue
		}
		sum := 0.0
		for _, entry := range entries {
			if info, err := entry.Info(); err == nil {
				sum += float64(info.Size())
			}
		}
		largest = max(largest, sum/(1<<20))
	}
	return largest
}
