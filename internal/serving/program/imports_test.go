package program

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const module = "willowdeck/internal/serving/"

// goList returns what `go list` prints for a template, a line each.
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

// TestProgramsBringNoAgreementOfOthers looks that forwarding, discovery, membership and agreement are our
// own work.
func TestProgramsBringNoAgreementOfOthers(t *testing.T) {
	foreign := []string{"etcd", "raft", "memberlist", "serf", "consul", "bbolt", "gossip", "zookeeper", "nats",
		"net/http/httputil", "grpc"}
	for _, dependency := range goList(t, "-deps", "./cmd/willowdeck-core", "./cmd/willowdeck-agent",
		"./cmd/willowdeck-edge") {
		for _, name := range foreign {
			if strings.Contains(dependency, name) {
				t.Errorf("the programs bring %s", dependency)
			}
		}
	}
}

// TestDecisionsHaveNoInputOrOutput looks at what the deciding packages import.
func TestDecisionsHaveNoInputOrOutput(t *testing.T) {
	deciding := []string{"consensus", "statemachine", "configuration", "catalog", "loadbalancer", "loadreport",
		"slowstart", "retrybudget", "stateview", "control", "pathhealth"}
	forbidden := []string{"net", "net/http", "os", "os/exec", "syscall", "log", "go.uber.org/zap",
		module + "framing", module + "watch", module + "core", module + "agent", module + "edge"}
	for _, name := range deciding {
		for _, imported := range goList(t, "-f", `{{join .Imports "\n"}}`, "./internal/serving/"+name) {
			told := name == "control" && imported == "go.uber.org/zap" // a logger is given to it
			if slices.Contains(forbidden, imported) && !told {
				t.Errorf("%s imports %s", name, imported)
			}
		}
	}
}

// TestLaboratoryStaysOutside looks that no program of the system brings the laboratory.
func TestLaboratoryStaysOutside(t *testing.T) {
	for _, dependency := range goList(t, "-deps", "./cmd/willowdeck-core", "./cmd/willowdeck-edge") {
		if dependency == module+"scale" || strings.HasPrefix(dependency, "willowdeck/internal/lab/capacity") {
			t.Errorf("the programs bring %s", dependency)
		}
	}
}
