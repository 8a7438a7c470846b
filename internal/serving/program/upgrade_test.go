package program

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// oldPrograms is the folder with the programs of an earlier version. TestUpgrade runs them together with the
// programs of this version.
var oldPrograms = flag.String("old", "",
	"folder with willowdeck-core, -agent and -edge of an earlier version")

const (
	upgradeTimeout = 20 * time.Second // limit for each step of an upgrade
	emptyZone      = "b"
	// acknowledgementBound is how long an operator's call may take in a calm time (ack_ms of the sites).
	acknowledgementBound = 6 * time.Second
	configBound          = 3 * time.Second // from a configuration's acknowledgement until all edges serve it
	upgradeHost          = "catania.example"
	upgradeService       = "model"
	upgradeInstance      = "w-1"
	heartbeatPeriod      = 300 * time.Millisecond
	clientPeriod         = 20 * time.Millisecond
	controlPlanePort     = 18146
	directoryPort        = 18147
	frontPort            = 18144
	readinessPort        = 18140
	internalPortRange    = "17660,17675"
)

// upgradeNode is an emulated machine with its own loopback address.
type upgradeNode struct {
	t         *testing.T
	name, ip  string
	dir       string
	processes map[string]*exec.Cmd // by program
}

// upgradeCluster has three cores, and edge nodes with an agent and an edge each. Each process runs either
// version.
type upgradeCluster struct {
	t            *testing.T
	newPrograms  string
	cores, edges []*upgradeNode
	client       http.Client
	generation   int
}

func (c *upgradeCluster) newNode(name, ip string, lines ...string) *upgradeNode {
	c.t.Helper()
	n := &upgradeNode{t: c.t, name: name, ip: ip, dir: filepath.Join(c.t.TempDir(), name),
		processes: map[string]*exec.Cmd{}}
	if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o755); err != nil {
		c.t.Fatal(err)
	}
	lines = append(lines, "node_name="+name, "ip="+ip, "zone=a", "region=south", "zones.a=south",
		"zones.b=south",
		"internal_port_range="+internalPortRange, "heartbeat_ms=1000", "bounds.grace_s=4",
		fmt.Sprintf("seeds=127.0.1.1:%[1]d,127.0.1.2:%[1]d,127.0.1.3:%[1]d", controlPlanePort))
	if err := os.WriteFile(n.settingsPath(), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		for _, process := range n.processes {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	})
	return n
}

func (n *upgradeNode) settingsPath() string { return filepath.Join(n.dir, "boot.conf") }

// start starts the program in folder on the node.
func (n *upgradeNode) start(folder, program string) {
	n.t.Helper()
	output, err := os.OpenFile(filepath.Join(n.dir, program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.t.Fatal(err)
	}
	defer output.Close()
	process := exec.Command(filepath.Join(folder, program), "-settings", n.settingsPath())
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.processes[program] = process
}

// replace stops a program with SIGTERM, as the platform does, and starts the program of the same name in
// folder.
func (n *upgradeNode) replace(folder, program string) {
	n.t.Helper()
	process := n.processes[program]
	_ = process.Process.Signal(syscall.SIGTERM)
	if err := process.Wait(); err != nil {
		n.t.Errorf("%s of %s exited with an error: %v", program, n.name, err)
	}
	n.start(folder, program)
}

// await waits until a condition holds, and returns how long it took.
func (c *upgradeCluster) await(what string, condition func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < upgradeTimeout {
		if condition() {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("timed out waiting for: %s", what)
	return 0
}

// call sends a request and returns the response's status and body, or 0 and "" if there was no complete
// response.
func (c *upgradeCluster) call(method, url string, header map[string]string, body string) (status int,
	answer string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return 0, ""
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.Host = upgradeHost
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// putConfiguration sends the next configuration, with one route for each generation so far, to a core. It
// returns the time from the core's acknowledgement until all edges served the route of the newest generation.
func (c *upgradeCluster) putConfiguration(core *upgradeNode) time.Duration {
	c.t.Helper()
	base := c.generation
	c.generation++
	var routes []string
	for generation := range c.generation {
		routes = append(routes, fmt.Sprintf(`{"hostname":%q,"path_prefix":"/g%d/","route_type":"idempotent",`+
			`"timeout_ms":2000,"max_attempts":2,"backend":%q}`, upgradeHost, generation+1, upgradeService))
	}
	body := fmt.Sprintf(`{"generation":%d,"routes":[%s],"services":[{"name":%q}]}`, c.generation,
		strings.Join(routes, ","), upgradeService)
	url := fmt.Sprintf("http://%s:%d/Config.Replace", core.ip, controlPlanePort)
	c.await(fmt.Sprintf("generation %d is acknowledged by %s", c.generation, core.name), func() bool {
		status, _ := c.call(http.MethodPost, url, map[string]string{"Base-Version": fmt.Sprint(base)}, body)
		return status == http.StatusOK
	})
	return c.await(fmt.Sprintf("all edges serve generation %d", c.generation), func() bool {
		for _, edge := range c.edges {
			if !c.serves(edge) {
				return false
			}
		}
		return true
	})
}

// checkEvacuations starts and stops the evacuation of a zone without workers by a core. The next call is made
// once all cores know of the last one.
func (c *upgradeCluster) checkEvacuations(core *upgradeNode) {
	c.t.Helper()
	for _, verb := range []string{"Start", "Stop"} {
		url := fmt.Sprintf("http://%s:%d/Evacuations.%s/%s", core.ip, controlPlanePort, verb, emptyZone)
		took := c.await(verb+" is acknowledged by "+core.name, func() bool {
			status, _ := c.call(http.MethodPost, url, nil, "")
			return status == http.StatusOK
		})
		if took > acknowledgementBound {
			c.t.Errorf("%s: %s took %v", core.name, verb, took)
		}
		c.await("the cores know of "+verb, func() bool { return c.coresKnow(verb == "Start") })
	}
}

// coresKnow reports whether all cores say that the zone without workers is evacuated, or that it is not.
func (c *upgradeCluster) coresKnow(evacuated bool) bool {
	for _, core := range c.cores {
		url := fmt.Sprintf("http://%s:%d/status", core.ip, controlPlanePort)
		status, answer := c.call(http.MethodGet, url, nil, "")
		var got struct{ Evacuated []string }
		if status != http.StatusOK || json.Unmarshal([]byte(answer), &got) != nil ||
			slices.Contains(got.Evacuated, emptyZone) != evacuated {
			return false
		}
	}
	return true
}

// serves reports whether an edge serves a route of the newest generation.
func (c *upgradeCluster) serves(edge *upgradeNode) bool {
	url := fmt.Sprintf("http://%s:%d/g%d/x", edge.ip, frontPort, c.generation)
	status, _ := c.call(http.MethodPost, url, map[string]string{"Request-Id": "q-1"}, "question")
	return status == http.StatusOK
}

// checkReadBack checks that each core returns the newest configuration.
func (c *upgradeCluster) checkReadBack() {
	c.t.Helper()
	for _, core := range c.cores {
		url := fmt.Sprintf("http://%s:%d/Config.Get", core.ip, controlPlanePort)
		c.await("the configuration at "+core.name, func() bool {
			status, answer := c.call(http.MethodGet, url, nil, "")
			var got struct{ Generation int }
			if status != http.StatusOK || json.Unmarshal([]byte(answer), &got) != nil {
				return false
			}
			if got.Generation != c.generation {
				c.t.Errorf("%s answers generation %d instead of %d", core.name, got.Generation, c.generation)
			}
			return true
		})
	}
}

// startWorker starts a worker that answers each request and sends its heartbeats to the cores in turn.
func (c *upgradeCluster) startWorker() {
	c.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.1.50:0")
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "signature")
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = server.Serve(listener) }()
	stop := make(chan struct{})
	c.t.Cleanup(func() {
		close(stop)
		_ = server.Close()
	})
	go func() {
		for sequence := 1; ; sequence++ {
			body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"a","generation":"v1","capacity":64,`+
				`"state":"ready",`+
				`"cold_remaining_ms":0,"sequence":%d}`, upgradeService, listener.Addr(), sequence)
			core := c.cores[sequence%len(c.cores)]
			url := fmt.Sprintf("http://%s:%d/Instances.Heartbeat/%s", core.ip, controlPlanePort, upgradeInstance)
			c.call(http.MethodPost, url, nil, body)
			select {
			case <-stop:
				return
			case <-time.After(heartbeatPeriod):
			}
		}
	}()
}

// startClients starts a client for each edge, which sends requests to the edge while it is ready. finish
// stops the clients and returns how many requests were served and how many failed.
func (c *upgradeCluster) startClients() (finish func() (served, failed int64)) {
	var servedCount, failedCount atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, edge := range c.edges {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(clientPeriod):
				}
				ready := fmt.Sprintf("http://%s:%d/readyz", edge.ip, readinessPort)
				if status, _ := c.call(http.MethodGet, ready, nil, ""); status != http.StatusOK {
					continue
				}
				url := fmt.Sprintf("http://%s:%d/g1/x", edge.ip, frontPort)
				status, answer := c.call(http.MethodPost, url, map[string]string{"Request-Id": "q-2"}, "question")
				if status == http.StatusOK && answer == "answer" {
					servedCount.Add(1)
				} else {
					failedCount.Add(1)
				}
			}
		})
	}
	return func() (served, failed int64) {
		close(stop)
		clients.Wait()
		return servedCount.Load(), failedCount.Load()
	}
}

// buildPrograms builds the programs of this version and returns the folder with them.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	output, err := exec.Command("go", "build", "-o", folder+"/", "willowdeck/cmd/willowdeck-core",
		"willowdeck/cmd/willowdeck-agent", "willowdeck/cmd/willowdeck-edge").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, bytes.TrimSpace(output))
	}
	return folder
}

// TestUpgrade runs cores, agents and edges of an earlier version together with those of this version, with
// each pairing of agent and edge. It then replaces the earlier programs machine by machine, and changes the
// configuration after each replacement. Every edge must serve the new configuration within configBound,
// every core must return it and take evacuations, and clients of ready edges must be served meanwhile. The
// test is skipped unless it is run with -args -old FOLDER.
func TestUpgrade(t *testing.T) {
	if *oldPrograms == "" {
		t.Skip("needs -args -old FOLDER")
	}
	c := &upgradeCluster{t: t, newPrograms: buildPrograms(t), client: http.Client{Timeout: 3 * time.Second}}
	for i, folder := range []string{*oldPrograms, *oldPrograms, c.newPrograms} {
		ip := fmt.Sprintf("127.0.1.%d", 1+i)
		n := c.newNode(fmt.Sprintf("core-%d", i), ip, "bootstrap=true",
			fmt.Sprintf("listen.control_plane=%s:%d", ip, controlPlanePort),
			fmt.Sprintf("listen.directory=%s:%d", ip, directoryPort))
		dataDir := "data_dir=" + filepath.Join(n.dir, "data") + "\n"
		text, err := os.ReadFile(n.settingsPath())
		if err == nil {
			err = os.WriteFile(n.settingsPath(), append(text, dataDir...), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		n.start(folder, "willowdeck-core")
		c.cores = append(c.cores, n)
	}
	pairs := [][2]string{{*oldPrograms, c.newPrograms}, {c.newPrograms, *oldPrograms},
		{*oldPrograms, *oldPrograms}, {c.newPrograms, c.newPrograms}}
	for i, pair := range pairs {
		ip := fmt.Sprintf("127.0.1.%d", 11+i)
		n := c.newNode(fmt.Sprintf("edge-%d", i), ip, fmt.Sprintf("listen.front=%s:%d", ip, frontPort),
			fmt.Sprintf("listen.readiness=%s:%d", ip, readinessPort))
		n.start(pair[0], "willowdeck-agent")
		n.start(pair[1], "willowdeck-edge")
		c.edges = append(c.edges, n)
	}
	c.startWorker()
	t.Logf("first configuration in force at edges of all pairings after %v", c.putConfiguration(c.cores[0]))
	finish := c.startClients()
	change := func(what string, core *upgradeNode) {
		t.Helper()
		took := c.putConfiguration(core)
		t.Logf("%s: the next configuration is in force everywhere after %v", what, took)
		if took > configBound {
			t.Errorf("%s: a change took %v", what, took)
		}
		c.checkReadBack()
		c.checkEvacuations(core)
	}
	for _, core := range c.cores {
		change("sent to "+core.name+", with mixed versions", core)
	}
	for i, core := range c.cores[:2] {
		core.replace(c.newPrograms, "willowdeck-core")
		change(core.name+" replaced", c.cores[(i+1)%len(c.cores)])
	}
	for i, edge := range c.edges[:3] {
		for j, program := range []string{"willowdeck-agent", "willowdeck-edge"} {
			if pairs[i][j] == *oldPrograms {
				edge.replace(c.newPrograms, program)
			}
		}
		change(edge.name+" replaced", c.cores[2])
	}
	served, failed := finish()
	t.Logf("%d requests served, %d failed", served, failed)
	if served < 200 || failed*500 > served {
		t.Errorf("%d requests served, %d failed", served, failed)
	}
}
