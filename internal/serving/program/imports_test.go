package program

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const module = "willowdeck/internal/serving/"

// goList returns the words that go list prints when it runs at the root of the module.
func goList(t *testing.T, arguments ...string) []string {
	t.Helper()
	command := exec.Command("go", append([]string{"list"}, arguments...)...)
	command.Dir = "../../.."
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(output))
}

// TestProgramsImportNoForeignConsensus checks that the programs depend on no library for forwarding,
// discovery, membership or consensus, because this module must implement them itself.
func TestProgramsImportNoForeignConsensus(t *testing.T) {
	foreign := []string{"etcd", "raft", "memberlist", "serf", "consul", "bbolt", "gossip", "zookeeper", "nats",
		"net/http/httputil", "grpc"}
	for _, dependency := range goList(t, "-deps", "./cmd/willowdeck-core", "./cmd/willowdeck-agent",
		"./cmd/willowdeck-edge") {
		for _, name := range foreign {
			if strings.Contains(dependency, name) {
				t.Errorf("the programs import %s", dependency)
			}
		}
	}
}

// TestDecidingPackagesDoNoIO checks the direct imports of the packages that make decisions: no package for
// I/O or logging, and none of framing, watch and the programs' packages.
func TestDecidingPackagesDoNoIO(t *testing.T) {
	deciding := []string{"consensus", "statemachine", "configuration", "catalog", "loadbalancer", "loadreport",
		"slowstart", "retrybudget", "stateview", "control", "pathhealth", "decay", "tally", "drain",
		"memorybudget", "execution"}
	forbidden := []string{"net", "net/http", "os", "os/exec", "syscall", "log", "go.uber.org/zap",
		module + "framing", module + "watch", module + "core", module + "agent", module + "edge"}
	for _, name := range deciding {
		for _, imported := range goList(t, "-f", `{{join .Imports "\n"}}`, "./internal/serving/"+name) {
			allowed := name == "control" && imported == "go.uber.org/zap" // its caller provides the logger
			if slices.Contains(forbidden, imported) && !allowed {
				t.Errorf("%s imports %s", name, imported)
			}
		}
	}
}

// TestProgramsDoNotImportLaboratory checks that the core and the edge depend on no package of internal/lab or
// internal/testkit, directly or indirectly.
func TestProgramsDoNotImportLaboratory(t *testing.T) {
	for _, dependency := range goList(t, "-deps", "./cmd/willowdeck-core", "./cmd/willowdeck-edge") {
		if strings.HasPrefix(dependency, "willowdeck/internal/lab/") ||
			strings.HasPrefix(dependency, "willowdeck/internal/testkit/") {
			t.Errorf("the programs import %s", dependency)
		}
	}
}
