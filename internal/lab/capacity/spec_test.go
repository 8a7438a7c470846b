package capacity

import (
	"os"
	"strings"
	"testing"
)

const entryText = `
[[lines]]
name = "x"
role = "gatekeeper"
resource = "bytes"
what = "w"
carried = "c"
over = "gatekeepers"
figure = "f"
unit = "KB/s"
limit = "bytes"
`

// specWithOneEntry returns the text of a spec with one entry.
func specWithOneEntry(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(specPath)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(raw), "\n[[lines]]")
	return head + entryText
}

// Each key is checked, and the error names it.
func TestDecodeSpecNamesTheKey(t *testing.T) {
	cases := []struct{ name, old, new, message string }{
		{"right", "", "", ""},
		{"unknown key", "carried =", "carries =", "carries: unknown key"},
		{"within", "within = 0.25", "within = 0", "within: 0"},
		{"missing planned size", "tenants =", "tenant =", "coming.tenants: 0"},
		{"unknown planned size", "\none = 1\n", "\none = 1\ntwo = 2\n", "coming.two: unknown key"},
		{"limit of zero", "most = 22\n", "most = 0\n", "limits[0].most: 0"},
		{"duplicate limit", `name = "processor"`, `name = "bytes"`, `limits[1].name: "bytes"`},
		{"unknown source of a limit", `by = "operators"`, `by = "us"`, `limits[0].by: "us"`},
		{"assumed limit without a reason", "why = \"a machine of 8 cores\"\n", "", "why: it has to be there"},
		{"no name", `name = "x"`, `name = ""`, "lines[0].name"},
		{"unknown role", `role = "gatekeeper"`, `role = "gate"`, `lines[0].role: "gate"`},
		{"unknown resource", `resource = "bytes"`, `resource = "joy"`, `lines[0].resource: "joy"`},
		{"no mechanism", `carried = "c"`, `carried = ""`, "lines[0].carried"},
		{"unknown size key", `over = "gatekeepers"`, `over = "peers"`, `lines[0].over: "peers"`},
		{"unit other than the limit's", `unit = "KB/s"
limit`, `unit = "MB/s"
limit`, `lines[0].unit: "MB/s" is not the limit's`},
		{"unknown limit", `limit = "bytes"`, `limit = "byte"`, `lines[0].limit: there is no limit "byte"`},
		{"multiplier without its reason", `figure = "f"`, "figure = \"f\"\ntimes = 5", "lines[0].times_is"},
		{"assumed and measured", `figure = "f"`, "figure = \"f\"\nmark = \"assumed\"", "lines[0].figure"},
		{"calculated without a basis", `figure = "f"`, "each = 5", "lines[0].mark"},
		{"assumed without a reason", `figure = "f"`, "each = 5\nmark = \"assumed\"", "lines[0].why"},
		{"assumed without a value", `figure = "f"`, "why = \"y\"\nmark = \"assumed\"", "lines[0].each"},
		{"event without affected rules", `figure = "f"`, "figure = \"f\"\nevent = \"a zone goes\"",
			"lines[0].touches"},
		{"unknown event", `figure = "f"`, "figure = \"f\"\nevent = \"rain\"\ntouches = \"t\"",
			`lines[0].event: "rain"`},
		{"sum of an unknown entry", `figure = "f"`, "sum = [\"y\"]", `lines[0].sum: ["y"] are not all lines`},
		{"sum and measured", `figure = "f"`, "figure = \"f\"\nsum = [\"y\"]", "lines[0].sum: figure"},
		{"part of an unknown entry", `figure = "f"`, "figure = \"f\"\nof = \"y\"",
			`lines[0].of: there is no line "y"`},
		{"replacing an unknown entry", `figure = "f"`, "figure = \"f\"\ninstead = \"y\"",
			`lines[0].instead: there is no line "y"`},
	}
	for _, c := range cases {
		text := specWithOneEntry(t)
		if !strings.Contains(text, c.old) {
			t.Fatalf("%s: no %q", c.name, c.old)
		}
		_, err := DecodeSpec(strings.Replace(text, c.old, c.new, 1))
		if c.message == "" && err != nil || c.message != "" && (err == nil || !strings.Contains(err.Error(),
			c.message)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.message)
		}
	}
}
