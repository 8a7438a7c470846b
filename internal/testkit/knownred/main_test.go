package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseKnownFailures(t *testing.T) {
	line := "internal/supervisor.TestFullHost/a,b, it breaks, now and then, issue 12"
	for _, c := range []struct {
		name, text string
		n          int // -1 where an error is expected
	}{
		{"none", "", 0},
		{"one", line + "\n", 1},
		{"three", line + "\n" + line + "\n" + line, 3},
		{"four", strings.Repeat(line+"\n", 4), -1},
		{"no cause", "internal/supervisor.TestFullHost, issue 12\n", -1},
		{"no issue", "internal/supervisor.TestFullHost, it breaks, \n", -1},
		{"no test", "internal/supervisor, it breaks, issue 12\n", -1},
		{"a whole package", "internal/supervisor.Test, it breaks, issue 12\n", -1},
		{"no package", "TestFullHost, it breaks, issue 12\n", -1},
		{"an empty line", line + "\n\n", -1},
	} {
		failures, err := parseKnownFailures(c.text)
		if (err != nil) != (c.n < 0) || err == nil && len(failures) != c.n {
			t.Errorf("%s: %v, %v", c.name, failures, err)
		}
		for _, failure := range failures {
			if failure.test != "willowdeck/internal/supervisor/TestFullHost/a,b" {
				t.Errorf("%s: %q", c.name, failure.test)
			}
		}
	}
}

// The program is run on packages written here: only the failures that are named are tolerated.
func TestVerdict(t *testing.T) {
	packages := map[string]string{
		"good": `func TestGood(t *testing.T) {}`,
		"two": `func TestA(t *testing.T) { t.Error("a breaks") }; ` +
			`func TestAB(t *testing.T) { t.Error("ab breaks") }`,
		"parts": `func TestP(t *testing.T) { for _, n := range []string{"x", "y"} { ` +
			`t.Run(n, func(t *testing.T) { t.Error(n) }) } }`,
		"both": `func TestP(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("x") }); ` +
			`t.Error("itself") }`,
		"panics":  `func TestA(t *testing.T) { panic("a") }; func TestB(t *testing.T) {}`,
		"exits":   `func TestA(t *testing.T) { os.Exit(1) }`,
		"leaks":   `func TestMain(m *testing.M) { m.Run(); os.Exit(1) }; func TestA(t *testing.T) {}`,
		"unbuilt": `func TestA(t *testing.T) { none() }`,
		"once":    `var n int; func TestA(t *testing.T) { if n++; n == 1 { t.Error("at first") } }`,
		"deep": `func TestA(t *testing.T) { t.Run("x", func(t *testing.T) { ` +
			`t.Run("y", func(t *testing.T) { t.Fail() }) }) }`,
	}
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module willowdeck\n\ngo 1.26\n")
	for name, text := range packages {
		write(name+"/x_test.go", "package "+name+"\n\nimport \"os\"\nimport \"testing\"\n\nvar _ = os.Exit\n"+text)
	}
	t.Chdir(dir)
	for _, c := range []struct {
		packages, red string
		ok            bool
		says          string
	}{
		{"good", "", true, "ok  \twillowdeck/good"},
		{"good", "good.TestGood", true, "known red passes, take its line out: good.TestGood"},
		{"good", "two.TestA", true, "known red was not run: two.TestA"},
		{"good two", "two.TestA two.TestAB", true, "known red: two.TestAB"},
		{"good two", "two.TestA", false, "failed: willowdeck/two.TestAB\n"},
		{"two", "two.TestAB", false, "failed: willowdeck/two.TestA\n"},
		{"two", "", false, "FAIL\twillowdeck/two"},
		{"two parts", "two.TestA two.TestAB", false, "failed: willowdeck/parts.TestP/x"},
		{"parts", "parts.TestP", true, "known red: parts.TestP"},
		{"parts", "parts.TestP/x parts.TestP/y", true, "known red: parts.TestP/y"},
		{"parts", "parts.TestP/x", false, "failed: willowdeck/parts.TestP/y"},
		{"both", "both.TestP/x", false, "failed: willowdeck/both.TestP\n"},
		{"deep", "deep.TestA/x/y", true, "known red: deep.TestA/x/y"},
		{"deep", "deep.TestA/x", true, "known red: deep.TestA/x"},
		{"deep", "deep.TestA/y", false, "failed: willowdeck/deep.TestA/x/y"},
		{"panics", "panics.TestA", false, "failed: willowdeck/panics is not whole"},
		{"exits", "exits.TestA", false, "failed: willowdeck/exits is not whole"},
		{"leaks", "leaks.TestA", false, "failed: willowdeck/leaks is not whole"},
		{"unbuilt", "unbuilt.TestA", false, "undefined: none"},
		{"-count=3 once", "once.TestA", true, "known red: once.TestA"},
		{"-count=3 once", "two.TestA", false, "failed: willowdeck/once.TestA"},
		{"absent", "two.TestA", false, ""},
	} {
		text := ""
		for _, name := range strings.Fields(c.red) {
			text += fmt.Sprintf("%s, it breaks, issue 1\n", name)
		}
		write(knownFailuresFile, text)
		var out strings.Builder
		var args []string
		for _, p := range strings.Fields(c.packages) {
			if !strings.HasPrefix(p, "-") {
				p = "./" + p
			}
			args = append(args, p)
		}
		ok, err := run(args, &out)
		if err != nil || ok != c.ok || !strings.Contains(out.String(), c.says) {
			t.Errorf("%s with %q known: %v, %v, want %v and %q in\n%s", c.packages, c.red, ok, err, c.ok, c.says, &out)
		}
	}
	write(knownFailuresFile, strings.Repeat("two.TestA, it breaks, issue 1\n", 4))
	if ok, err := run([]string{"./good"}, &strings.Builder{}); ok || err == nil {
		t.Errorf("four lines: %v, %v", ok, err)
	}
	if err := os.Remove(knownFailuresFile); err != nil {
		t.Fatal(err)
	}
	if ok, err := run([]string{"./good"}, &strings.Builder{}); !ok || err != nil {
		t.Errorf("without the file: %v, %v", ok, err)
	}
}
